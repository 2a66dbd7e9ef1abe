package org.skylarkmast.relay.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a byte stream into server-sent events. Not thread-safe. */
final class EventSplitter {

    /**
     * Maximum size of an event; a longer one indicates a faulty runner. A node buffers one event
     * for each of several hundred streams.
     */
    private static final int MAX_EVENT_BYTES = 1 << 16;

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private int lineLength;

    /**
     * A complete event.
     *
     * @param bytes the event as received, including the empty line that ends it
     * @param id its id, empty if it has none
     * @param data its data lines joined by line feeds; empty if it has none
     * @param hasData whether it has a data line, which may be empty
     * @param hasOnlyFields whether each line is a field, known or not, or a comment
     */
    @SuppressWarnings("ArrayRecordComponent") // bytes are opaque and never compared
    record Event(byte[] bytes, String id, byte[] data, boolean hasData, boolean hasOnlyFields) {}

    /** Appends bytes and returns the events that they complete. */
    List<Event> append(byte[] bytes, int length) {
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

    /** Returns the bytes of the event that is not complete yet. */
    byte[] remainder() {
        return partial.toByteArray();
    }

    /**
     * Returns whether the bytes so far end inside an event: within a line, or after a line of an
     * event whose empty line is missing. Comments and empty lines belong to no event.
     */
    boolean isInsideEvent() {
        return lineLength > 0
                || partial.toString(StandardCharsets.ISO_8859_1)
                        .lines()
                        .anyMatch(line -> !line.isEmpty() && !line.startsWith(":"));
    }

    private static Event parse(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        String id = "";
        StringBuilder data = new StringBuilder();
        boolean hasData = false;
        boolean hasOnlyFields = true;
        for (String line : text.split("\r\n|\n", -1)) {
            hasOnlyFields &= isFieldOrComment(line);
            if (line.startsWith("id:")) {
                id = fieldValue(line, 3);
            } else if (line.startsWith("data:")) {
                if (hasData) {
                    data.append('\n');
                }
                data.append(fieldValue(line, 5));
                hasData = true;
            }
        }
        return new Event(
                bytes,
                id,
                data.toString().getBytes(StandardCharsets.ISO_8859_1),
                hasData,
                hasOnlyFields);
    }

    /** Whether the name of a line's field is a token (RFC 9110), which a status line's is not. */
    private static boolean isFieldOrComment(String line) {
        int colon = line.indexOf(':');
        String name = colon < 0 ? line : line.substring(0, colon);
        // The first line may begin with a byte order mark.
        return name.chars().allMatch(c -> c >= 0x80 || isTokenCharacter(c));
    }

    private static boolean isTokenCharacter(int c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
    }

    private static String fieldValue(String line, int from) {
        return line.startsWith(" ", from) ? line.substring(from + 1) : line.substring(from);
    }
}
