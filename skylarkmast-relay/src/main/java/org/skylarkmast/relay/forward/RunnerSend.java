package org.skylarkmast.relay.forward;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.http.RunnerAnswer;
import org.skylarkmast.relay.http.RunnerConnection;
import org.skylarkmast.relay.http.RunnerConnections;
import org.skylarkmast.relay.runner.PromptPart;
import org.skylarkmast.relay.runner.Runner;
import org.skylarkmast.relay.runner.RunnerPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends a request to one runner and passes the answer on; thread-safe. */
final class RunnerSend {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerSend.class);

    /**
     * Longest wait for a connection: the way takes a few ms, a lost packet comes again after 1 s.
     */
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** Silence after which a request that timed out counts as a failure of its runner. */
    private static final long SILENT_MS = 1000;

    private static final int BUFFER_BYTES = 8192;

    /** Answers kept back until they are whole, so that a broken one can be sent for again. */
    private static final int MAX_HELD_BYTES = 256 << 10;

    /** Answers to other requests that are skipped on one connection. */
    private static final int MAX_STRAY_ANSWERS = 3;

    private static final int MISDIRECTED = 421;

    private final RunnerConnections connections;
    private final RunnerPool pool;
    private final WireDialect dialect;
    private final ScheduledExecutorService timers;

    RunnerSend(
            RunnerConnections connections,
            RunnerPool pool,
            WireDialect dialect,
            ScheduledExecutorService timers) {
        this.timers = timers;
        this.connections = connections;
        this.pool = pool;
        this.dialect = dialect;
    }

    /**
     * A request as it goes to runners.
     *
     * @param fields end-to-end fields of the caller
     * @param stream whether the answer is a stream of events
     * @param finisher called with the whole stream before its end is passed on
     * @param silenceMs how long a runner may take to begin its answer, or {@link #ANY_SILENCE}
     */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record Outgoing(
            String requestId,
            String method,
            String target,
            HeaderFields fields,
            byte[] body,
            int priority,
            double units,
            List<PromptPart> prompt,
            boolean stream,
            Finisher finisher,
            long silenceMs) {

        /** The runner may take all the time there is. */
        static final long ANY_SILENCE = 0;

        /** The same request for a runner that must begin its answer within {@code ms}. */
        Outgoing withSilenceMs(long ms) {
            return new Outgoing(
                    requestId, method, target, fields, body, priority, units, prompt, stream,
                    finisher, ms);
        }
    }

    /** Does what must be done before an answer may end. */
    @FunctionalInterface
    interface Finisher {

        /**
         * Finishes.
         *
         * @return false if the answer must not look complete
         */
        boolean finish(AnswerSink sink) throws InterruptedException;
    }

    SendResult send(Outgoing request, Runner runner, Exchange exchange, AnswerSink sink)
            throws InterruptedException {
        RunnerConnections.Lent lent;
        try {
            int timeoutMs = Math.clamp(exchange.leftMs(), 1, CONNECT_TIMEOUT_MS);
            lent = connections.take(runner.incarnation(), runner.address(), timeoutMs);
        } catch (IOException e) {
            pool.recordConnectFailure(runner);
            return new SendResult.NotRun(false, "not connected: " + e.getMessage());
        }
        RunnerConnection connection = lent.connection();
        if (!exchange.uses(connection)) {
            connection.abort();
            return new SendResult.NotRun(false, "exchange ended before the send");
        }
        pool.recordStart(runner);
        boolean reusable = false;
        RunnerAnswer answer = null;
        long sentNs = System.nanoTime();
        try {
            write(request, runner, connection, exchange, sink);
            answer = answerInTime(request, connection);
            dialect.load(answer.fields()).ifPresent(load -> pool.recordLoad(runner, load));
            if (dialect.notRun(answer.status(), answer.fields())) {
                connection.body(answer).readAllBytes();
                reusable = true;
                boolean full = answer.status() != MISDIRECTED;
                if (full) {
                    pool.recordOverload(runner);
                }
                return new SendResult.NotRun(full, "runner answered " + answer.status());
            }
            SendResult result = pass(request, connection, answer, sink);
            reusable = result instanceof SendResult.Delivered;
            if (reusable && answer.status() < 300) {
                pool.recordSuccess(
                        runner,
                        System.nanoTime() - sentNs,
                        doneUnits(request, sink),
                        request.prompt());
            } else if (answer.status() >= 500) {
                pool.recordFailure(runner);
            }
            return result;
        } catch (CallerWriteException e) {
            return new SendResult.CallerLost(String.valueOf(e.getMessage()));
        } catch (IOException | IllegalStateException e) {
            String reason = e.getMessage() + (lent.reused() ? " (reused connection)" : "");
            return broken(runner, exchange, sink, sentNs, reason);
        } finally {
            pool.recordEnd(runner);
            exchange.releases();
            if (reusable && !exchange.isCallerGone()) {
                connections.giveBack(runner.incarnation(), connection, answer);
            } else {
                connection.abort();
            }
        }
    }

    /** Reads the answer's head; a runner that stays silent for too long is cut off. */
    private RunnerAnswer answerInTime(Outgoing request, RunnerConnection connection)
            throws IOException {
        if (request.silenceMs() == Outgoing.ANY_SILENCE) {
            return answerTo(request, connection);
        }
        ScheduledFuture<?> cut =
                timers.schedule(connection::abort, request.silenceMs(), TimeUnit.MILLISECONDS);
        try {
            return answerTo(request, connection);
        } finally {
            cut.cancel(false);
        }
    }

    /** Work that was done: the tokens of a stream, which are often far fewer than expected. */
    private static double doneUnits(Outgoing request, AnswerSink sink) {
        return request.stream() ? Math.max(1, sink.tokens()) : request.units();
    }

    private void write(
            Outgoing request,
            Runner runner,
            RunnerConnection connection,
            Exchange exchange,
            AnswerSink sink)
            throws IOException {
        WireDialect.SendOptions options =
                new WireDialect.SendOptions(
                        Math.max(1, exchange.leftMs()),
                        runner.id(),
                        request.priority(),
                        sink.lastEventId());
        connection.send(
                request.method(),
                request.target(),
                dialect.towardsRunner(request.fields(), options),
                request.body());
    }

    private SendResult broken(
            Runner runner, Exchange exchange, AnswerSink sink, long sentNs, String reason) {
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNs);
        boolean ownEnd = exchange.isCallerGone() || exchange.isExpired();
        // A timeout without any answer is a failure of the runner as well.
        if (!ownEnd || (!sink.begun() && tookMs >= SILENT_MS)) {
            pool.recordFailure(runner);
        }
        if (exchange.isCallerGone()) {
            return new SendResult.CallerLost("caller closed");
        }
        LOG.atInfo()
                .addKeyValue("event", "runner_exchange_broken")
                .addKeyValue("runner", runner.id())
                .addKeyValue("reason", reason)
                .addKeyValue("begun", sink.begun())
                .addKeyValue("tookMs", tookMs)
                .log();
        return sink.begun() ? new SendResult.BrokenOff(reason) : new SendResult.MayHaveRun(reason);
    }

    /** Reads answers until one names this request; others came late for earlier ones. */
    private RunnerAnswer answerTo(Outgoing request, RunnerConnection connection)
            throws IOException {
        for (int stray = 0; stray <= MAX_STRAY_ANSWERS; stray++) {
            RunnerAnswer answer = connection.readHead(request.method());
            String answered = dialect.answeredRequestId(answer.fields());
            if (request.requestId().equals(answered)) {
                return answer;
            }
            LOG.atWarn()
                    .addKeyValue("event", "stray_answer")
                    .addKeyValue("request", request.requestId())
                    .addKeyValue("answered", answered)
                    .log();
            if (!answer.persistent()) {
                throw new IOException("an answer to another request ended the connection");
            }
            connection.body(answer).readAllBytes();
        }
        throw new IOException("only answers to other requests");
    }

    private SendResult pass(
            Outgoing request, RunnerConnection connection, RunnerAnswer answer, AnswerSink sink)
            throws IOException, InterruptedException {
        InputStream body = connection.body(answer);
        if (request.stream() && answer.status() == 200) {
            return passEvents(request, body, answer, sink);
        }
        byte[] held = body.readNBytes(MAX_HELD_BYTES);
        if (held.length < MAX_HELD_BYTES) {
            try {
                sink.whole(answer, held);
            } catch (IOException e) {
                throw new CallerWriteException(e);
            }
            return new SendResult.Delivered(answer.status());
        }
        byte[] buffer = new byte[BUFFER_BYTES];
        writing(() -> sink.begin(answer));
        writing(() -> sink.chunk(held, held.length));
        for (int n = body.read(buffer); n >= 0; n = body.read(buffer)) {
            int length = n;
            writing(() -> sink.chunk(buffer, length));
        }
        writing(sink::end);
        return new SendResult.Delivered(answer.status());
    }

    private SendResult passEvents(
            Outgoing request, InputStream body, RunnerAnswer answer, AnswerSink sink)
            throws IOException, InterruptedException {
        EventSplitter splitter = new EventSplitter();
        byte[] buffer = new byte[BUFFER_BYTES];
        writing(() -> sink.begin(answer));
        for (int n = body.read(buffer); n >= 0; n = body.read(buffer)) {
            List<EventSplitter.Event> events = splitter.take(buffer, n);
            if (!events.isEmpty()) {
                writing(() -> sink.events(events));
            }
        }
        byte[] rest = splitter.rest();
        if (rest.length > 0) {
            // The runner ended the answer properly, so these bytes belong to it.
            writing(() -> sink.chunk(rest, rest.length));
        }
        if (!request.finisher().finish(sink)) {
            return new SendResult.BrokenOff("turn not kept");
        }
        writing(sink::end);
        return new SendResult.Delivered(answer.status());
    }

    /** A write towards the caller. */
    @FunctionalInterface
    private interface CallerWrite {
        void run() throws IOException;
    }

    private static void writing(CallerWrite write) throws CallerWriteException {
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
