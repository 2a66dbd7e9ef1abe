package org.skylarkmast.relay.forward;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.relay.http.Framing;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.http.RunnerAnswer;
import org.skylarkmast.relay.http.RunnerConnection;
import org.skylarkmast.relay.http.RunnerConnectionPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends a request to one destination and relays its answer to the caller; thread-safe. */
final class RequestSender {
    private static final Logger LOG = LoggerFactory.getLogger(RequestSender.class);

    /**
     * Maximum wait for a connection. Connecting takes a few milliseconds; a lost packet would be
     * retransmitted only after 1 s.
     */
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** Time without an answer after which a cancelled request counts as a failure of its runner. */
    private static final long UNRESPONSIVE_AFTER_MS = 1000;

    private static final int BUFFER_BYTES = 8192;

    /**
     * Answers below this size are written only when complete, so that a failed one can be retried.
     */
    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    /**
     * Maximum number of blocks of {@link #BUFFER_BYTES} by which all such answers together exceed
     * their first block; the rest of an answer that gets no more is written as it arrives.
     */
    private static final int MAX_BUFFERED_BLOCKS = 640;

    /** Maximum number of answers to other requests that are skipped on a connection. */
    private static final int MAX_STRAY_ANSWERS = 3;

    /** Maximum wait for the rest of a rejection, which is a few bytes. */
    private static final long DISCARD_TIMEOUT_MS = 100;

    private static final int MISDIRECTED_REQUEST = 421;

    private final RunnerConnectionPool connections;
    private final FieldsTranslation translation;
    private final WireDialect dialect;
    private final ScheduledExecutorService timers;
    private final Semaphore freeBlocks = new Semaphore(MAX_BUFFERED_BLOCKS);

    /** Returns the fields of a request as they are sent, from those of the caller. */
    @FunctionalInterface
    interface FieldsTranslation {
        HeaderFields translate(HeaderFields callerFields, WireDialect.SendOptions options);
    }

    RequestSender(
            RunnerConnectionPool connections,
            FieldsTranslation translation,
            WireDialect dialect,
            ScheduledExecutorService timers) {
        this.connections = connections;
        this.translation = translation;
        this.dialect = dialect;
        this.timers = timers;
    }

    /** Called before the end of a stream is written to the caller. */
    @FunctionalInterface
    interface StreamEndHook {

        /**
         * Completes the work that must precede the end of the stream, such as storing the turn.
         *
         * @return false if the caller must not receive the end of the stream
         */
        boolean beforeStreamEnd(AnswerWriter writer) throws InterruptedException;
    }

    SendResult send(
            OutboundRequest request,
            Destination destination,
            SendObserver observer,
            Exchange exchange,
            AnswerWriter writer)
            throws InterruptedException {
        RunnerConnectionPool.AcquiredConnection acquired;
        try {
            acquired = connect(destination, observer, exchange);
        } catch (IOException e) {
            return new SendResult.NotRun(false, "not connected: " + e.getMessage());
        }
        RunnerConnection connection = acquired.connection();
        if (!exchange.attach(connection)) {
            connection.abort();
            return new SendResult.NotRun(false, "exchange ended before the send");
        }
        Optional<Refusal> refusal = request.sendCheck().get();
        if (refusal.isPresent()) {
            exchange.detach();
            connection.abort();
            return new SendResult.NotRun(true, refusal.get().reason());
        }
        observer.sending();
        boolean reusable = false;
        RunnerAnswer answer = null;
        long sentNs = System.nanoTime();
        try {
            writeRequest(request, destination, connection, exchange, writer);
            answer = readHeadInTime(request, connection, observer);
            observer.answered(answer);
            if (dialect.reportsNotRun(answer.status(), answer.fields())) {
                reusable = discardInTime(connection, answer);
                boolean overloaded = answer.status() != MISDIRECTED_REQUEST;
                observer.rejected(answer, overloaded);
                return new SendResult.NotRun(overloaded, "runner answered " + answer.status());
            }
            SendResult result = relayAnswer(request, connection, answer, writer);
            reusable = result instanceof SendResult.Delivered;
            if (reusable && answer.status() < 300) {
                reportSuccess(request, observer, writer, sentNs);
            } else if (answer.status() >= 500) {
                observer.failed();
            }
            return result;
        } catch (CallerWriteException e) {
            return new SendResult.CallerLost(String.valueOf(e.getMessage()));
        } catch (IOException | IllegalStateException e) {
            String reason = e.getMessage() + (acquired.reused() ? " (reused connection)" : "");
            return failedResult(destination, observer, exchange, writer, sentNs, reason);
        } finally {
            observer.ended();
            exchange.detach();
            if (reusable && !exchange.isCallerDisconnected()) {
                connections.release(destination.connectionKey(), connection, answer);
            } else {
                connection.abort();
            }
        }
    }

    private static void reportSuccess(
            OutboundRequest request, SendObserver observer, AnswerWriter writer, long sentNs) {
        long endNs = System.nanoTime();
        observer.succeeded(endNs - sentNs, completedUnits(request, writer));
        writer.firstEventNs()
                .ifPresent(
                        firstNs ->
                                observer.streamed(
                                        firstNs - sentNs,
                                        endNs - firstNs,
                                        writer.tokensWritten() - writer.tokensPerEvent()));
    }

    private RunnerConnectionPool.AcquiredConnection connect(
            Destination destination, SendObserver observer, Exchange exchange) throws IOException {
        long startedNs = System.nanoTime();
        try {
            int timeoutMs = Math.clamp(exchange.remainingMs(), 1, CONNECT_TIMEOUT_MS);
            RunnerConnectionPool.AcquiredConnection acquired =
                    connections.acquire(
                            destination.connectionKey(),
                            destination.address(),
                            timeoutMs,
                            exchange::maySendOn);
            observer.connected(acquired.reused());
            return acquired;
        } catch (IOException e) {
            observer.connectFailed(e, System.nanoTime() - startedNs);
            throw e;
        }
    }

    /** Reads the answer's head; aborts the connection when the head time-out passes. */
    private RunnerAnswer readHeadInTime(
            OutboundRequest request, RunnerConnection connection, SendObserver observer)
            throws IOException {
        if (request.headTimeoutMs() == OutboundRequest.NO_HEAD_TIMEOUT) {
            return readMatchingHead(request, connection, observer);
        }
        ScheduledFuture<?> abortTimer =
                timers.schedule(connection::abort, request.headTimeoutMs(), TimeUnit.MILLISECONDS);
        try {
            return readMatchingHead(request, connection, observer);
        } finally {
            abortTimer.cancel(false);
        }
    }

    /**
     * Reads the rest of a rejection; the caller's request does not wait long for it.
     *
     * @return whether the connection may be reused
     */
    private boolean discardInTime(RunnerConnection connection, RunnerAnswer answer) {
        ScheduledFuture<?> abortTimer =
                timers.schedule(connection::abort, DISCARD_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        try {
            return connection.discardBody(answer);
        } catch (IOException e) {
            LOG.atInfo()
                    .addKeyValue("event", "rejection_not_read")
                    .addKeyValue("status", answer.status())
                    .addKeyValue("reason", e.getMessage())
                    .log();
            return false;
        } finally {
            abortTimer.cancel(false);
        }
    }

    /** Returns the work done: for a stream, its tokens, which are often far fewer than expected. */
    private static double completedUnits(OutboundRequest request, AnswerWriter writer) {
        return request.stream() ? Math.max(1, writer.tokensWritten()) : request.units();
    }

    private void writeRequest(
            OutboundRequest request,
            Destination destination,
            RunnerConnection connection,
            Exchange exchange,
            AnswerWriter writer)
            throws IOException {
        WireDialect.SendOptions options =
                new WireDialect.SendOptions(
                        Math.max(1, exchange.remainingMs()),
                        destination.id(),
                        request.priority(),
                        writer.lastEventId());
        connection.send(
                request.method(),
                request.target(),
                translation.translate(request.fields(), options),
                request.body());
    }

    private SendResult failedResult(
            Destination destination,
            SendObserver observer,
            Exchange exchange,
            AnswerWriter writer,
            long sentNs,
            String reason) {
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNs);
        boolean cancelled = exchange.isCallerDisconnected() || exchange.isExpired();
        // A cancelled request counts as a failure as well if the runner had long enough to answer.
        if (!cancelled || (!writer.hasBegun() && tookMs >= UNRESPONSIVE_AFTER_MS)) {
            observer.failed();
        }
        if (exchange.isCallerDisconnected()) {
            return new SendResult.CallerLost("caller closed");
        }
        LOG.atInfo()
                .addKeyValue("event", "runner_exchange_broken")
                .addKeyValue("runner", destination.id())
                .addKeyValue("reason", reason)
                .addKeyValue("begun", writer.hasBegun())
                .addKeyValue("tookMs", tookMs)
                .log();
        return writer.hasBegun()
                ? new SendResult.BrokenOff(reason)
                : new SendResult.MayHaveRun(reason);
    }

    /** Reads answers until one carries this request's id; skips late ones to earlier requests. */
    private RunnerAnswer readMatchingHead(
            OutboundRequest request, RunnerConnection connection, SendObserver observer)
            throws IOException {
        for (int stray = 0; stray <= MAX_STRAY_ANSWERS; stray++) {
            RunnerAnswer answer = connection.readHead(request.method());
            observer.headRead(answer);
            String answered = dialect.answeredRequestId(answer.fields());
            if (request.requestId().equals(answered)) {
                return answer;
            }
            LOG.atWarn()
                    .addKeyValue("event", "stray_answer")
                    .addKeyValue("request", request.requestId())
                    .addKeyValue("answered", answered)
                    .log();
            if (!connection.discardBody(answer)) {
                throw new IOException("an answer to another request does not end in time");
            }
        }
        throw new IOException("only answers to other requests");
    }

    private SendResult relayAnswer(
            OutboundRequest request,
            RunnerConnection connection,
            RunnerAnswer answer,
            AnswerWriter writer)
            throws IOException, InterruptedException {
        if (writer.hasBegun() && !writer.isContinuedBy(answer)) {
            LOG.atInfo()
                    .addKeyValue("event", "stream_not_continued")
                    .addKeyValue("request", request.requestId())
                    .addKeyValue("afterEvent", writer.lastEventId())
                    .addKeyValue("status", answer.status())
                    .log();
            return new SendResult.NotContinued(answer.status());
        }
        if (Refusal.promisesNotRun(answer.status()) && !request.relaysUnmarkedRefusal()) {
            throw new IOException("answer " + answer.status() + " does not say not run");
        }
        InputStream body = connection.body(answer);
        if (request.stream() && answer.status() == 200) {
            return relayEvents(request, body, answer, writer);
        }
        if (relayStart(request, body, answer, writer)) {
            return new SendResult.Delivered(answer.status());
        }
        byte[] buffer = new byte[BUFFER_BYTES];
        for (int n = body.read(buffer); n >= 0; n = body.read(buffer)) {
            int length = n;
            writeToCaller(() -> writer.writeChunk(buffer, length));
        }
        writeToCaller(writer::endStream);
        return new SendResult.Delivered(answer.status());
    }

    /**
     * Buffers an answer and writes it when it is complete; one that is too long for that is begun
     * with what was buffered.
     *
     * @return whether the answer is complete
     */
    private boolean relayStart(
            OutboundRequest request, InputStream body, RunnerAnswer answer, AnswerWriter writer)
            throws IOException {
        int heldBlocks = 0;
        try {
            ByteArrayOutputStream start = new ByteArrayOutputStream();
            byte[] block = body.readNBytes(BUFFER_BYTES);
            start.writeBytes(block);
            while (block.length == BUFFER_BYTES
                    && start.size() < MAX_BUFFERED_BYTES
                    && freeBlocks.tryAcquire()) {
                heldBlocks++;
                block = body.readNBytes(BUFFER_BYTES);
                start.writeBytes(block);
            }
            byte[] buffered = start.toByteArray();
            if (SecondAnswer.isIn(buffered, request.requestId())) {
                throw new IOException("a second answer begins before the first one has ended");
            }
            if (block.length < BUFFER_BYTES) {
                writeToCaller(() -> writer.writeComplete(answer, buffered));
                return true;
            }
            writeToCaller(() -> writer.beginStream(answer));
            writeToCaller(() -> writer.writeChunk(buffered, buffered.length));
            return false;
        } finally {
            freeBlocks.release(heldBlocks);
        }
    }

    private SendResult relayEvents(
            OutboundRequest request, InputStream body, RunnerAnswer answer, AnswerWriter writer)
            throws IOException, InterruptedException {
        EventSplitter splitter = new EventSplitter();
        byte[] buffer = new byte[BUFFER_BYTES];
        writeToCaller(() -> writer.beginStream(answer));
        for (int n = body.read(buffer); n >= 0; n = body.read(buffer)) {
            EventSequence.Part part =
                    EventSequence.after(
                            writer.precedingEventId(),
                            splitter.append(buffer, n),
                            request.requestId());
            if (!part.events().isEmpty()) {
                writeToCaller(() -> writer.writeEvents(part.events()));
            }
            if (!part.flaw().isEmpty()) {
                throw new IOException(part.flaw());
            }
        }
        byte[] remainder = splitter.remainder();
        writer.recordTrailingBytes(remainder.length);
        // A runner that fails before its first event ends an answer without length in the same way.
        boolean endsUnmarked = answer.framing() instanceof Framing.UntilClose;
        if (splitter.isInsideEvent() || (endsUnmarked && !writer.lastPartHasEvents())) {
            throw new IOException("stream ended inside an event");
        }
        if (remainder.length > 0) {
            writeToCaller(() -> writer.writeChunk(remainder, remainder.length));
        }
        if (!request.streamEndHook().beforeStreamEnd(writer)) {
            return new SendResult.BrokenOff("turn was not stored");
        }
        writeToCaller(writer::endStream);
        return new SendResult.Delivered(answer.status());
    }

    /** A write to the caller. */
    @FunctionalInterface
    private interface CallerWrite {
        void run() throws IOException;
    }

    private static void writeToCaller(CallerWrite write) throws CallerWriteException {
        try {
            write.run();
        } catch (IOException e) {
            throw new CallerWriteException(e);
        }
    }

    private static final class CallerWriteException extends IOException {
        private static final long serialVersionUID = 1L;

        CallerWriteException(IOException cause) {
            super(cause.getMessage(), cause);
        }
    }
}
