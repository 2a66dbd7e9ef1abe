package org.skylarkmast.relay.forward;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.Framing;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.http.RunnerAnswer;

/**
 * Passes a runner's answer to the caller and keeps account of what was passed. Used by one thread.
 */
final class AnswerSink {
    private final CallerConnection caller;
    private final BooleanSupplier closing;
    private final int tokensPerEvent;
    private final boolean keepsOutput;
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private boolean begun;
    private boolean closes;
    private boolean ended;
    private String lastEventId = "";
    private int events;

    AnswerSink(
            CallerConnection caller,
            BooleanSupplier closing,
            int tokensPerEvent,
            boolean keepsOutput) {
        this.caller = caller;
        this.closing = closing;
        this.tokensPerEvent = tokensPerEvent;
        this.keepsOutput = keepsOutput;
    }

    /** Whether the caller has received part of an answer. */
    boolean begun() {
        return begun;
    }

    /** Whether the caller was told that the connection ends with this answer. */
    boolean closes() {
        return closes;
    }

    /** Whether the answer is complete. */
    boolean ended() {
        return ended;
    }

    /** Id of the last event passed on, empty before the first. */
    String lastEventId() {
        return lastEventId;
    }

    /** Tokens in the events passed on. */
    int tokens() {
        return events * tokensPerEvent;
    }

    /** Data of the events passed on, each followed by a line feed. */
    byte[] output() {
        return output.toByteArray();
    }

    void whole(RunnerAnswer answer, byte[] body) throws IOException {
        begun = true;
        closes = closing.getAsBoolean();
        caller.writeAnswer(answer.status(), Framing.endToEnd(answer.fields()), body, closes);
        ended = true;
    }

    /** Begins the answer; a stream that goes on at another runner keeps its first head. */
    void begin(RunnerAnswer answer) throws IOException {
        if (!begun) {
            begun = true;
            closes = closing.getAsBoolean();
            HeaderFields fields = Framing.endToEnd(answer.fields());
            caller.beginStream(answer.status(), fields, closes);
        }
    }

    /** Passes events on at once; they count as handed over from before the write. */
    void events(List<EventSplitter.Event> complete) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (EventSplitter.Event event : complete) {
            bytes.writeBytes(event.bytes());
            if (!event.id().isEmpty()) {
                lastEventId = event.id();
            }
            if (event.hasData()) {
                events++;
                if (keepsOutput) {
                    output.writeBytes(event.data());
                    output.write('\n');
                }
            }
        }
        chunk(bytes.toByteArray(), bytes.size());
    }

    void chunk(byte[] bytes, int length) throws IOException {
        caller.writeChunk(bytes, 0, length);
    }

    void end() throws IOException {
        caller.endStream();
        ended = true;
    }
}
