package org.skylarkmast.relay.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Cuts a byte stream into whole server-sent events. Not thread-safe. */
final class EventSplitter {

    /** Longest event accepted; a longer one is not the work of a sound runner. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private int lineLength;

    /**
     * A whole event.
     *
     * @param bytes as received, its closing empty line included
     * @param id its id, empty if it has none
     * @param data its data lines joined by line feeds; empty if it has none
     */
    @SuppressWarnings("ArrayRecordComponent") // bytes are opaque and never compared
    record Event(byte[] bytes, String id, byte[] data, boolean hasData) {}

    /** Takes bytes and returns the events they complete. */
    List<Event> take(byte[] bytes, int length) {
        List<Event> events = new ArrayList<>(2);
        for (int i = 0; i < length; i++) {
            byte b = bytes[i];
            partial.write(b);
            if (b == '\n') {
                if (lineLength == 0 && partial.size() > 2) {
                    events.add(parse(partial.toByteArray()));
                    partial.reset();
                }
                lineLength = 0;
            } else if (b != '\r') {
                lineLength++;
            }
        }
        if (partial.size() > MAX_EVENT_BYTES) {
            throw new IllegalStateException("event is longer than " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    /** Bytes of an event that is not whole yet. */
    byte[] rest() {
        return partial.toByteArray();
    }

    private static Event parse(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        String id = "";
        StringBuilder data = new StringBuilder();
        boolean hasData = false;
        for (String line : text.split("\r\n|\n", -1)) {
            if (line.startsWith("id:")) {
                id = valueOf(line, 3);
            } else if (line.startsWith("data:")) {
                if (hasData) {
                    data.append('\n');
                }
                data.append(valueOf(line, 5));
                hasData = true;
            }
        }
        return new Event(bytes, id, data.toString().getBytes(StandardCharsets.ISO_8859_1), hasData);
    }

    private static String valueOf(String line, int from) {
        return line.startsWith(" ", from) ? line.substring(from + 1) : line.substring(from);
    }
}
