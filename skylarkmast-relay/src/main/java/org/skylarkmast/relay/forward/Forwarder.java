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
import org.skylarkmast.relay.http.RunnerConnections;
import org.skylarkmast.relay.ledger.ChainOutcome;
import org.skylarkmast.relay.ledger.Reservation;
import org.skylarkmast.relay.ledger.ReserveOutcome;
import org.skylarkmast.relay.ledger.TurnLedger;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.route.Route;
import org.skylarkmast.relay.route.RouteKind;
import org.skylarkmast.relay.route.RoutingConfiguration;
import org.skylarkmast.relay.route.RoutingState;
import org.skylarkmast.relay.route.TargetService;
import org.skylarkmast.relay.runner.RunnerPool;

/** Serves callers' requests, one at a time on each caller's thread; thread-safe. */
public final class Forwarder {

    /** Time for the answer to an expired request to leave before its connection is cut. */
    private static final long CUT_AFTER_MS = 300;

    /** An answer is mostly about a quarter as long as the most that its caller allows. */
    private static final int USUAL_SHARE_OF_MOST = 4;

    /** Part of a turn's time that may pass while too few storage nodes answer. */
    private static final int PATIENCE_DIVISOR = 3;

    /**
     * Longest wait for the first configuration and the first storage nodes, which take some 100 ms.
     */
    private static final long START_WAIT_MS = 800;

    private static final long HELD_RETRY_MS = 250;
    private static final long STORAGE_NODES_RETRY_MS = 300;

    /** Time after which a caller may try another entry node, which may know or reach more. */
    private static final long ELSEWHERE_RETRY_MS = 100;

    private final RoutingState routing;
    private final RunnerPool pool;
    private final RunnerSend sender;
    private final WireDialect dialect;
    private final TurnLedger ledger;
    private final RequestLog requestLog;
    private final ExecutorService executor;
    private final ScheduledExecutorService timers;
    private final DoubleSupplier random;

    /**
     * @param executor runs ledger reads beside a reservation
     * @param random uniform in [0, 1)
     */
    public Forwarder(
            RoutingState routing,
            RunnerPool pool,
            RunnerConnections connections,
            WireDialect dialect,
            TurnLedger ledger,
            RequestLog requestLog,
            ExecutorService executor,
            ScheduledExecutorService timers,
            DoubleSupplier random) {
        this.routing = routing;
        this.pool = pool;
        this.sender = new RunnerSend(connections, pool, dialect, timers);
        this.dialect = dialect;
        this.ledger = ledger;
        this.requestLog = requestLog;
        this.executor = executor;
        this.timers = timers;
        this.random = random;
    }

    /**
     * Serves one request whose body was read.
     *
     * @param closing asked when the answer begins: whether the connection ends with it
     * @return whether the connection may serve another request
     */
    public boolean serve(
            CallerConnection caller, InboundRequest request, byte[] body, BooleanSupplier closing)
            throws InterruptedException {
        RequestLog.Entry entry = new RequestLog.Entry(System.nanoTime());
        CallMetadata call;
        try {
            call = dialect.read(request.fields());
        } catch (MalformedMessageException e) {
            return refuse(caller, "", Refusal.of(400, e.getMessage()), closing, entry);
        }
        RoutingConfiguration configuration = routing.await(startWaitMs(call));
        if (configuration == null) {
            Refusal refusal = Refusal.notRun(ELSEWHERE_RETRY_MS, "no configuration known yet");
            return refuse(caller, call.requestId(), refusal, closing, entry);
        }
        entry.version = configuration.version();
        entry.requestId = call.requestId();
        entry.program = call.program();
        Route route = configuration.match(request.fields().first("Host"), request.path());
        if (route == null) {
            return refuse(caller, call.requestId(), Refusal.of(404, "no route"), closing, entry);
        }
        entry.route = route.name();
        long leftMs = route.timeoutMs();
        if (call.deadlineMs() != CallMetadata.UNSET) {
            leftMs = Math.min(leftMs, call.deadlineMs());
        }
        Exchange exchange =
                new Exchange(caller, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(leftMs));
        caller.watch(exchange::callerGone);
        ScheduledFuture<?> expiry =
                timers.schedule(() -> exchange.expire(false), leftMs, TimeUnit.MILLISECONDS);
        ScheduledFuture<?> cut =
                timers.schedule(
                        () -> exchange.expire(true), leftMs + CUT_AFTER_MS, TimeUnit.MILLISECONDS);
        try {
            Turn turn =
                    new Turn(caller, request, body, closing, call, route, configuration, exchange);
            return turn.serve(entry);
        } finally {
            exchange.end();
            expiry.cancel(false);
            cut.cancel(false);
        }
    }

    /** How long a request may wait for what a node learns in its first moments. */
    private static long startWaitMs(CallMetadata call) {
        boolean unset = call.deadlineMs() == CallMetadata.UNSET;
        long share = unset ? START_WAIT_MS : call.deadlineMs() / PATIENCE_DIVISOR;
        return Math.min(START_WAIT_MS, share);
    }

    private boolean refuse(
            CallerConnection caller,
            String requestId,
            Refusal refusal,
            BooleanSupplier closing,
            RequestLog.Entry entry) {
        boolean close = closing.getAsBoolean();
        HeaderFields fields =
                dialect.ownAnswer(requestId).with("Content-Type", "text/plain; charset=utf-8");
        if (refusal.retryAfterMs() != Refusal.NEVER) {
            String seconds = String.format("%.3f", refusal.retryAfterMs() / 1000.0);
            fields = fields.with("Retry-After", seconds);
        }
        entry.status = refusal.status();
        entry.reason = refusal.reason();
        try {
            byte[] text = (refusal.reason() + "\n").getBytes(StandardCharsets.UTF_8);
            caller.writeAnswer(refusal.status(), fields, text, close);
            requestLog.ended("refused", entry);
            return !close;
        } catch (IOException e) {
            requestLog.ended("refusal_unread", entry);
            return false;
        }
    }

    /** One request on its way; used by one thread. */
    private final class Turn {
        private final CallerConnection caller;
        private final InboundRequest request;
        private final byte[] input;
        private final BooleanSupplier closing;
        private final CallMetadata call;
        private final Route route;
        private final Exchange exchange;
        private final TargetService target;
        private final String service;

        Turn(
                CallerConnection caller,
                InboundRequest request,
                byte[] input,
                BooleanSupplier closing,
                CallMetadata call,
                Route route,
                RoutingConfiguration configuration,
                Exchange exchange) {
            this.caller = caller;
            this.request = request;
            this.input = input;
            this.closing = closing;
            this.call = call;
            this.route = route;
            this.exchange = exchange;
            this.service = route.selectService(random.getAsDouble());
            this.target = configuration.service(service);
        }

        boolean serve(RequestLog.Entry entry) throws InterruptedException {
            entry.service = service;
            boolean reserves = call.budgeted() && route.kind() == RouteKind.STREAM;
            if ((reserves || route.storesTurns()) && !ledger.awaitFirst(startWaitMs(call))) {
                Refusal refusal = Refusal.notRun(ELSEWHERE_RETRY_MS, "no quorum of keepers");
                return refuse(caller, call.requestId(), refusal, closing, entry);
            }
            Future<ChainOutcome> chain = startChain();
            Refusal refusal = reserves ? reserve(entry) : null;
            byte[] body = input;
            if (chain != null) {
                ChainOutcome read = await(chain);
                if (refusal == null) {
                    switch (read) {
                        case ChainOutcome.Found found -> {
                            entry.chainLength = found.turns().size();
                            body = join(found);
                        }
                        case ChainOutcome.Absent absent ->
                                refusal = Refusal.of(404, "no such previous turn");
                        case ChainOutcome.Uncertain uncertain ->
                                refusal =
                                        Refusal.notRun(
                                                STORAGE_NODES_RETRY_MS, "history not readable");
                    }
                    if (refusal != null && reserves) {
                        settle(0);
                    }
                }
            }
            if (refusal != null) {
                return refuse(caller, call.requestId(), refusal, closing, entry);
            }
            return send(body, reserves, entry);
        }

        private Future<ChainOutcome> startChain() {
            if (!route.storesTurns() || call.previousTurn().isEmpty()) {
                return null;
            }
            return executor.submit(() -> ledger.chain(call.previousTurn(), patienceMs()));
        }

        private ChainOutcome await(Future<ChainOutcome> chain) throws InterruptedException {
            try {
                return chain.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException("reading a chain failed", e.getCause());
            }
        }

        private Refusal reserve(RequestLog.Entry entry) throws InterruptedException {
            Reservation claim =
                    new Reservation(
                            call.program(),
                            call.requestId(),
                            call.maxOutputTokens(),
                            call.tokenBudget(),
                            route.retentionMs());
            ReserveOutcome outcome = ledger.reserve(claim, patienceMs());
            entry.reservation = outcome.name();
            return switch (outcome) {
                case GRANTED -> null;
                case HELD -> Refusal.notRun(HELD_RETRY_MS, "budget held by turns under way");
                case EXHAUSTED -> Refusal.of(402, "token budget is spent");
                case UNAVAILABLE ->
                        Refusal.notRun(STORAGE_NODES_RETRY_MS, "too few keepers answer");
            };
        }

        private boolean send(byte[] body, boolean reserved, RequestLog.Entry entry)
                throws InterruptedException {
            boolean stream = route.kind() == RouteKind.STREAM;
            int tokensPerEvent = target == null ? 1 : target.tokensPerEvent();
            AnswerSink sink = new AnswerSink(caller, closing, tokensPerEvent, route.storesTurns());
            RunnerSend.Outgoing outgoing =
                    new RunnerSend.Outgoing(
                            call.requestId(),
                            request.method(),
                            request.target(),
                            Framing.endToEnd(request.fields()),
                            body,
                            route.priority(),
                            stream ? expectedTokens() : 1,
                            call.prompt(),
                            stream,
                            this::keep,
                            RunnerSend.Outgoing.ANY_SILENCE);
            SendLoop loop = new SendLoop(pool, sender, route, service, outgoing, exchange, sink);
            SendLoop.End end = loop.run();
            entry.runner = loop.lastRunner();
            entry.sends = loop.sends();
            entry.tokens = sink.tokens();
            boolean keptByAppend = sink.ended() && route.storesTurns();
            if (reserved && !keptByAppend) {
                settle(sink.tokens());
            }
            return finish(end, sink, entry);
        }

        private boolean finish(SendLoop.End end, AnswerSink sink, RequestLog.Entry entry) {
            if (end.refusal() != null && !sink.begun()) {
                return refuse(caller, call.requestId(), end.refusal(), closing, entry);
            }
            return switch (end.result()) {
                case SendResult.Delivered delivered -> {
                    entry.status = delivered.status();
                    requestLog.ended("delivered", entry);
                    yield !sink.closes();
                }
                case SendResult.CallerLost lost -> cut("caller_lost", lost.reason(), entry);
                case SendResult.BrokenOff broken -> cut("broken_off", broken.reason(), entry);
                case SendResult.MayHaveRun broken -> cut("broken_off", broken.reason(), entry);
                case SendResult.NotRun notRun -> cut("broken_off", notRun.reason(), entry);
            };
        }

        private boolean cut(String outcome, String reason, RequestLog.Entry entry) {
            entry.reason = exchange.isExpired() ? "out of time: " + reason : reason;
            requestLog.ended(outcome, entry);
            caller.abort();
            return false;
        }

        /** Keeps the turn before its answer may end. */
        private boolean keep(AnswerSink sink) throws InterruptedException {
            if (!route.storesTurns()) {
                return true;
            }
            TurnRecord record =
                    new TurnRecord(
                            call.requestId(),
                            call.previousTurn(),
                            input,
                            sink.output(),
                            route.retentionMs());
            String program = call.budgeted() ? call.program() : "";
            return ledger.append(program, record, sink.tokens(), Math.max(1, exchange.leftMs()));
        }

        private void settle(int tokens) {
            ledger.settle(call.program(), call.requestId(), tokens, route.retentionMs());
        }

        private byte[] join(ChainOutcome.Found chain) {
            ByteArrayOutputStream joined = new ByteArrayOutputStream();
            for (TurnRecord turn : chain.turns()) {
                joined.writeBytes(turn.input());
                joined.writeBytes(turn.output());
            }
            joined.writeBytes(input);
            return joined.toByteArray();
        }

        private int expectedTokens() {
            return call.expectedOutputTokens() > 0
                    ? call.expectedOutputTokens()
                    : Math.max(1, call.maxOutputTokens() / USUAL_SHARE_OF_MOST);
        }

        private long patienceMs() {
            return Math.max(1, exchange.leftMs() / PATIENCE_DIVISOR);
        }
    }
}
