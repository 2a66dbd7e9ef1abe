package org.skylarkmast.relay.forward;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.Framing;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.http.InboundRequest;
import org.skylarkmast.relay.http.MalformedMessageException;
import org.skylarkmast.relay.http.RunnerConnectionPool;
import org.skylarkmast.relay.ledger.ChainOutcome;
import org.skylarkmast.relay.ledger.TurnLedger;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.limit.SendAdmission;
import org.skylarkmast.relay.route.Route;
import org.skylarkmast.relay.route.RouteKind;
import org.skylarkmast.relay.route.RoutingConfiguration;
import org.skylarkmast.relay.route.RoutingState;
import org.skylarkmast.relay.route.TargetService;
import org.skylarkmast.relay.runner.RunnerPool;

/** Serves callers' requests, each on the thread of its caller's connection; thread-safe. */
public final class Forwarder {

    /** Time after the deadline to write the answer before the caller's connection is aborted. */
    private static final long ABORT_DELAY_MS = 300;

    /**
     * Divisor of the available time for the part of it that a request waits for storage nodes while
     * too few of them answer.
     */
    private static final int STORAGE_TIMEOUT_DIVISOR = 3;

    /**
     * Maximum wait for the first configuration and the first storage nodes, which normally takes
     * about 100 ms.
     */
    private static final long MAX_STARTUP_WAIT_MS = 800;

    /**
     * Retry-After if another entry node may succeed, because it has a configuration or can reach
     * storage nodes that this one cannot.
     */
    private static final long OTHER_NODE_RETRY_AFTER_MS = 100;

    private final RoutingState routing;
    private final RunnerPool pool;
    private final SendAdmission admission;
    private final RunnerContact contact;
    private final RequestSender sender;
    private final WireDialect dialect;
    private final TurnLedger ledger;
    private final RequestLog requestLog;
    private final ExecutorService executor;
    private final ScheduledExecutorService timers;
    private final DoubleSupplier random;

    /**
     * @param executor runs ledger reads concurrently with a reservation
     * @param random uniform in [0, 1)
     */
    public Forwarder(
            RoutingState routing,
            RunnerPool pool,
            RunnerConnectionPool connections,
            SendAdmission admission,
            RunnerContact contact,
            WireDialect dialect,
            TurnLedger ledger,
            RequestLog requestLog,
            ExecutorService executor,
            ScheduledExecutorService timers,
            DoubleSupplier random) {
        this.routing = routing;
        this.pool = pool;
        this.admission = admission;
        this.contact = contact;
        this.sender = new RequestSender(connections, dialect::toRunnerFields, dialect, timers);
        this.dialect = dialect;
        this.ledger = ledger;
        this.requestLog = requestLog;
        this.executor = executor;
        this.timers = timers;
        this.random = random;
    }

    /**
     * Serves one request whose body has been read.
     *
     * @param closeAfterAnswer whether the connection closes after the answer; evaluated when the
     *     answer begins
     * @return whether the connection may serve another request
     */
    public boolean serve(
            CallerConnection caller,
            InboundRequest request,
            byte[] body,
            BooleanSupplier closeAfterAnswer)
            throws InterruptedException {
        RequestLog.Entry entry = new RequestLog.Entry(System.nanoTime());
        CallMetadata call;
        try {
            call = dialect.parseCallMetadata(request.fields());
        } catch (MalformedMessageException e) {
            return refuse(caller, "", Refusal.of(400, e.getMessage()), closeAfterAnswer, entry);
        }
        RoutingConfiguration configuration = routing.await(startupWaitMs(call));
        if (configuration == null) {
            Refusal refusal =
                    Refusal.notRun(OTHER_NODE_RETRY_AFTER_MS, "no configuration known yet");
            return refuse(caller, call.requestId(), refusal, closeAfterAnswer, entry);
        }
        entry.version = configuration.version();
        entry.requestId = call.requestId();
        entry.program = call.program();
        entry.resumedRequestId = call.resumedRequestId();
        Route route = configuration.match(request.fields().first("Host"), request.path());
        if (route == null) {
            return refuse(
                    caller, call.requestId(), Refusal.of(404, "no route"), closeAfterAnswer, entry);
        }
        entry.route = route.name();
        long remainingMs = route.timeoutMs();
        if (call.deadlineMs() != CallMetadata.UNSET) {
            remainingMs = Math.min(remainingMs, call.deadlineMs());
        }
        Exchange exchange =
                new Exchange(
                        caller, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMs));
        caller.detectDisconnect(exchange::callerDisconnected);
        ScheduledFuture<?> expiration =
                timers.schedule(() -> exchange.expire(false), remainingMs, TimeUnit.MILLISECONDS);
        ScheduledFuture<?> callerAbort =
                timers.schedule(
                        () -> exchange.expire(true),
                        remainingMs + ABORT_DELAY_MS,
                        TimeUnit.MILLISECONDS);
        try {
            RequestHandler handler =
                    new RequestHandler(
                            caller,
                            request,
                            body,
                            closeAfterAnswer,
                            call,
                            route,
                            configuration,
                            exchange);
            return handler.serve(entry);
        } finally {
            exchange.end();
            expiration.cancel(false);
            callerAbort.cancel(false);
        }
    }

    /** Returns how long a request may wait for the data that a node receives after its start. */
    private static long startupWaitMs(CallMetadata call) {
        boolean unset = call.deadlineMs() == CallMetadata.UNSET;
        long maxWaitMs = unset ? MAX_STARTUP_WAIT_MS : call.deadlineMs() / STORAGE_TIMEOUT_DIVISOR;
        return Math.min(MAX_STARTUP_WAIT_MS, maxWaitMs);
    }

    private boolean refuse(
            CallerConnection caller,
            String requestId,
            Refusal refusal,
            BooleanSupplier closeAfterAnswer,
            RequestLog.Entry entry) {
        boolean close = closeAfterAnswer.getAsBoolean();
        HeaderFields fields =
                dialect.localAnswerFields(requestId)
                        .with("Content-Type", "text/plain; charset=utf-8");
        if (refusal.retryAfterMs() != Refusal.NEVER) {
            String seconds = String.format("%.3f", refusal.retryAfterMs() / 1000.0);
            fields = fields.with("Retry-After", seconds);
        }
        entry.status = refusal.status();
        entry.reason = refusal.reason();
        try {
            byte[] text = (refusal.reason() + "\n").getBytes(StandardCharsets.UTF_8);
            caller.writeAnswer(refusal.status(), fields, text, close);
            requestLog.logEnd("refused", entry);
            return !close;
        } catch (IOException e) {
            requestLog.logEnd("refusal_unread", entry);
            return false;
        }
    }

    /** Serves one request; confined to one thread. */
    private final class RequestHandler {
        private final CallerConnection caller;
        private final InboundRequest request;
        private final byte[] input;
        private final BooleanSupplier closeAfterAnswer;
        private final CallMetadata call;
        private final Route route;
        private final Exchange exchange;
        private final RoutingConfiguration configuration;

        /** The service that the request is sent to; that of its origin if it resumes a stream. */
        private String service;

        /** Writes the answer; null before the request is sent. */
        private AnswerWriter writer;

        RequestHandler(
                CallerConnection caller,
                InboundRequest request,
                byte[] input,
                BooleanSupplier closeAfterAnswer,
                CallMetadata call,
                Route route,
                RoutingConfiguration configuration,
                Exchange exchange) {
            this.caller = caller;
            this.request = request;
            this.input = input;
            this.closeAfterAnswer = closeAfterAnswer;
            this.call = call;
            this.route = route;
            this.exchange = exchange;
            this.configuration = configuration;
            this.service = route.selectService(random.getAsDouble());
        }

        private boolean hasEvents() {
            return writer != null && writer.hasEvents();
        }

        boolean serve(RequestLog.Entry entry) throws InterruptedException {
            entry.service = service;
            RequestAdmission admission =
                    new RequestAdmission(
                            pool,
                            ledger,
                            call,
                            route,
                            service,
                            this::storageTimeoutMs,
                            this::hasEvents);
            if ((admission.needsLedger() || route.storesTurns())
                    && !ledger.awaitFirstQuorum(startupWaitMs(call))) {
                Refusal refusal = Refusal.notRun(OTHER_NODE_RETRY_AFTER_MS, "no quorum of keepers");
                return refuse(caller, call.requestId(), refusal, closeAfterAnswer, entry);
            }
            Future<ChainOutcome> chain = startChain();
            Refusal refusal = null;
            OriginBinding binding = null;
            switch (admission.admit(entry)) {
                case RequestAdmission.Result.Admitted admitted -> {
                    service = admitted.service();
                    binding = admitted.binding();
                }
                case RequestAdmission.Result.Refused refused -> refusal = refused.refusal();
            }
            entry.service = service;
            byte[] body = input;
            if (chain != null) {
                ChainOutcome chainOutcome = awaitChain(chain);
                if (refusal == null) {
                    switch (chainOutcome) {
                        case ChainOutcome.Found found -> {
                            entry.chainLength = found.turns().size();
                            body = joinHistory(found);
                        }
                        case ChainOutcome.Absent absent ->
                                refusal = Refusal.of(404, "no such previous turn");
                        case ChainOutcome.Uncertain uncertain ->
                                refusal =
                                        Refusal.notRun(
                                                RequestAdmission.STORAGE_RETRY_AFTER_MS,
                                                "history not readable");
                    }
                    if (refusal != null && admission.needsTokens()) {
                        settle(0);
                    }
                }
            }
            if (refusal != null) {
                return refuse(caller, call.requestId(), refusal, closeAfterAnswer, entry);
            }
            return send(body, admission.needsTokens(), binding, entry);
        }

        private Future<ChainOutcome> startChain() {
            if (!route.storesTurns() || call.previousTurn().isEmpty()) {
                return null;
            }
            return executor.submit(() -> ledger.chain(call.previousTurn(), storageTimeoutMs()));
        }

        private ChainOutcome awaitChain(Future<ChainOutcome> chain) throws InterruptedException {
            try {
                return chain.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException(
                        "reading the chain of previous turns failed", e.getCause());
            }
        }

        private boolean send(
                byte[] body, boolean reserved, OriginBinding binding, RequestLog.Entry entry)
                throws InterruptedException {
            boolean stream = route.kind() == RouteKind.STREAM;
            TargetService target = configuration.service(service);
            int tokensPerEvent = target == null ? 1 : target.tokensPerEvent();
            writer =
                    new AnswerWriter(caller, closeAfterAnswer, tokensPerEvent, route.storesTurns());
            RequestSender.OutboundRequest outboundRequest =
                    new RequestSender.OutboundRequest(
                            call.requestId(),
                            request.method(),
                            request.target(),
                            Framing.endToEnd(request.fields()),
                            body,
                            route.priority(),
                            stream ? call.estimatedOutputTokens() : 1,
                            call.prompt(),
                            stream,
                            this::storeTurn,
                            RequestSender.OutboundRequest.NO_HEAD_TIMEOUT);
            RetryLoop loop =
                    new RetryLoop(
                            pool,
                            admission,
                            sender,
                            runner ->
                                    new RunnerObserver(
                                            pool,
                                            admission.limits(),
                                            contact,
                                            dialect,
                                            outboundRequest,
                                            runner),
                            route,
                            service,
                            outboundRequest,
                            exchange,
                            writer,
                            binding,
                            !call.previousTurn().isEmpty());
            RetryLoop.Outcome outcome = loop.run();
            entry.runner = loop.lastRunner();
            entry.runnerVersion = loop.lastRunnerVersion();
            entry.runnerLimit = loop.lastRunnerLimit();
            entry.limitDelayMs = loop.limitDelayMs();
            entry.sends = loop.sends();
            requestLog.countSendsToLimitedRunners(loop.sendsToLimitedRunners());
            entry.tokens = writer.tokensWritten();
            entry.framing = writer.runnerFraming();
            entry.trailingBytes = writer.trailingBytes();
            boolean settledByAppend = writer.isComplete() && route.storesTurns();
            if (reserved && !settledByAppend) {
                settle(writer.tokensWritten());
            }
            return finish(outcome, writer, entry);
        }

        private boolean finish(
                RetryLoop.Outcome outcome, AnswerWriter writer, RequestLog.Entry entry) {
            if (outcome.refusal() != null && !writer.hasBegun()) {
                return refuse(caller, call.requestId(), outcome.refusal(), closeAfterAnswer, entry);
            }
            return switch (outcome.result()) {
                case SendResult.Delivered delivered -> {
                    entry.status = delivered.status();
                    requestLog.logEnd("delivered", entry);
                    yield !writer.closesConnection();
                }
                case SendResult.CallerLost lost -> abortCaller("caller_lost", lost.reason(), entry);
                case SendResult.BrokenOff broken ->
                        abortCaller("broken_off", broken.reason(), entry);
                case SendResult.MayHaveRun broken ->
                        abortCaller("broken_off", broken.reason(), entry);
                case SendResult.NotRun notRun -> abortCaller("broken_off", notRun.reason(), entry);
            };
        }

        private boolean abortCaller(String outcome, String reason, RequestLog.Entry entry) {
            entry.reason = exchange.isExpired() ? "deadline exceeded: " + reason : reason;
            requestLog.logEnd(outcome, entry);
            caller.abort();
            return false;
        }

        /**
         * Stores the turn before the end of its answer is written; true if there is none to store.
         */
        private boolean storeTurn(AnswerWriter writer) throws InterruptedException {
            if (!route.storesTurns()) {
                return true;
            }
            TurnRecord record =
                    new TurnRecord(
                            call.requestId(),
                            call.previousTurn(),
                            input,
                            writer.output(),
                            route.retentionMs());
            String program = call.hasTokenBudget() ? call.program() : "";
            return ledger.append(
                    program, record, writer.tokensWritten(), Math.max(1, exchange.remainingMs()));
        }

        private void settle(int tokens) {
            ledger.settle(call.program(), call.requestId(), tokens, route.retentionMs());
        }

        private byte[] joinHistory(ChainOutcome.Found chain) {
            ByteArrayOutputStream joined = new ByteArrayOutputStream();
            for (TurnRecord turn : chain.turns()) {
                joined.writeBytes(turn.input());
                joined.writeBytes(turn.output());
            }
            joined.writeBytes(input);
            return joined.toByteArray();
        }

        private long storageTimeoutMs() {
            return Math.max(1, exchange.remainingMs() / STORAGE_TIMEOUT_DIVISOR);
        }
    }
}
