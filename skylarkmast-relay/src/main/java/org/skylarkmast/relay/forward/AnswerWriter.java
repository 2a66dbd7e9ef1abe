package org.skylarkmast.relay.forward;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.Framing;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.http.RunnerAnswer;
import org.skylarkmast.relay.runner.Runner;

/** Writes a runner's answer to the caller and records what was written. Confined to one thread. */
final class AnswerWriter {
    private static final String CONTENT_ENCODING = "Content-Encoding";
    private static final String CONTENT_TYPE = "Content-Type";

    private final CallerConnection caller;
    private final BooleanSupplier closeAfterAnswer;
    private final int tokensPerEvent;
    private final boolean recordsOutput;
    private final String callerEventId;
    private final AnswerFields answerFields;
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private Runner runner;
    private boolean hasBegun;
    private int status;
    private String contentEncoding;
    private String mediaType = "";
    private boolean closesConnection;
    private boolean isComplete;
    private String lastEventId = "";
    private int eventsWritten;
    private OptionalLong firstEventNs = OptionalLong.empty();
    private boolean lastPartHasEvents;
    private String runnerFraming = "";
    private int trailingBytes;

    /** Translates the end-to-end fields of an answer to those that are written. */
    @FunctionalInterface
    interface AnswerFields {

        /**
         * Returns the fields to write.
         *
         * @param runner the runner that answers, null if another entry node passes the answer on
         */
        HeaderFields translate(HeaderFields fields, Runner runner);
    }

    /**
     * @param callerEventId id of the last event that the caller has of a stream that it resumes,
     *     empty if it resumes none
     */
    AnswerWriter(
            CallerConnection caller,
            BooleanSupplier closeAfterAnswer,
            int tokensPerEvent,
            boolean recordsOutput,
            String callerEventId,
            AnswerFields answerFields) {
        this.caller = caller;
        this.closeAfterAnswer = closeAfterAnswer;
        this.tokensPerEvent = tokensPerEvent;
        this.recordsOutput = recordsOutput;
        this.callerEventId = callerEventId;
        this.answerFields = answerFields;
    }

    /** Sets the runner whose answer is written next. */
    void setRunner(Runner runner) {
        this.runner = runner;
    }

    /** Whether the head of an answer has been written or attempted. */
    boolean hasBegun() {
        return hasBegun;
    }

    /**
     * Whether {@code answer} may supply the next part of the answer that has begun: a runner that
     * cannot continue a stream answers with an error, whose bytes are no part of it.
     */
    boolean isContinuedBy(RunnerAnswer answer) {
        return answer.status() == status
                && Objects.equals(answer.fields().first(CONTENT_ENCODING), contentEncoding)
                && (mediaType.isEmpty()
                        || mediaType(answer).isEmpty()
                        || mediaType(answer).equals(mediaType));
    }

    /** Returns the media type without its parameters, empty if the answer states none. */
    private static String mediaType(RunnerAnswer answer) {
        String contentType = answer.fields().first(CONTENT_TYPE);
        return contentType == null
                ? ""
                : contentType.split(";", 2)[0].strip().toLowerCase(Locale.ROOT);
    }

    /** Whether the answer announced that the connection closes after it. */
    boolean closesConnection() {
        return closesConnection;
    }

    /** Whether the answer was written completely. */
    boolean isComplete() {
        return isComplete;
    }

    /** Id of the last event written, empty before the first. */
    String lastEventId() {
        return lastEventId;
    }

    /** Id of the last event that the caller has of the stream, empty if there is none. */
    String precedingEventId() {
        return lastEventId.isEmpty() ? callerEventId : lastEventId;
    }

    /** Whether an event of the last runner's part of the stream has been written or attempted. */
    boolean lastPartHasEvents() {
        return lastPartHasEvents;
    }

    /** Whether an event has been written or attempted. */
    boolean hasEvents() {
        return eventsWritten > 0 || !lastEventId.isEmpty();
    }

    /**
     * Time of the stream's first event on the JDK's monotonic clock; empty if the last runner's
     * part does not begin with it.
     */
    OptionalLong firstEventNs() {
        return firstEventNs;
    }

    /** Number of tokens in an event. */
    int tokensPerEvent() {
        return tokensPerEvent;
    }

    /** Number of tokens in the events written. */
    int tokensWritten() {
        return eventsWritten * tokensPerEvent;
    }

    /** How the runner framed the last answer, empty if there was none. */
    String runnerFraming() {
        return runnerFraming;
    }

    /** Number of bytes that followed the last complete event of the runner's stream. */
    int trailingBytes() {
        return trailingBytes;
    }

    /** Data of the events written, each followed by a line feed. */
    byte[] output() {
        return output.toByteArray();
    }

    void writeComplete(RunnerAnswer answer, byte[] body) throws IOException {
        if (hasBegun) {
            throw new IllegalStateException("the caller has got the head of another answer");
        }
        runnerFraming = answer.framing().label();
        hasBegun = true;
        closesConnection = closeAfterAnswer.getAsBoolean();
        caller.writeAnswer(answer.status(), fieldsToWrite(answer), body, closesConnection);
        isComplete = true;
    }

    /** Writes the head, unless this stream is resumed at another runner and already has one. */
    void beginStream(RunnerAnswer answer) throws IOException {
        runnerFraming = answer.framing().label();
        lastPartHasEvents = false;
        firstEventNs = OptionalLong.empty();
        if (!hasBegun) {
            hasBegun = true;
            status = answer.status();
            contentEncoding = answer.fields().first(CONTENT_ENCODING);
            mediaType = mediaType(answer);
            closesConnection = closeAfterAnswer.getAsBoolean();
            caller.beginStream(answer.status(), fieldsToWrite(answer), closesConnection);
        }
    }

    private HeaderFields fieldsToWrite(RunnerAnswer answer) {
        return answerFields.translate(Framing.endToEnd(answer.fields()), runner);
    }

    /** Writes events immediately; they count as written even if the write fails. */
    void writeEvents(List<EventSplitter.Event> events) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (EventSplitter.Event event : events) {
            bytes.writeBytes(event.bytes());
            lastPartHasEvents |= event.hasData() || !event.id().isEmpty();
            if (!event.id().isEmpty()) {
                lastEventId = event.id();
            }
            if (event.hasData()) {
                if (eventsWritten++ == 0) {
                    firstEventNs = OptionalLong.of(System.nanoTime());
                }
                if (recordsOutput) {
                    output.writeBytes(event.data());
                    output.write('\n');
                }
            }
        }
        writeChunk(bytes.toByteArray(), bytes.size());
    }

    /** Records what followed the last complete event when the runner's stream ended. */
    void recordTrailingBytes(int count) {
        trailingBytes = count;
    }

    void writeChunk(byte[] bytes, int length) throws IOException {
        caller.writeChunk(bytes, 0, length);
    }

    void endStream() throws IOException {
        caller.endStream();
        isComplete = true;
    }
}
