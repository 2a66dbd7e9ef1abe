package org.skylarkmast.relay.forward;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.Framing;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.http.InboundRequest;
import org.skylarkmast.relay.ledger.ChainOutcome;
import org.skylarkmast.relay.ledger.TurnLedger;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.quarantine.RequestFingerprint;
import org.skylarkmast.relay.route.Route;
import org.skylarkmast.relay.route.RouteKind;
import org.skylarkmast.relay.route.RoutingConfiguration;
import org.skylarkmast.relay.route.TargetService;
import org.skylarkmast.relay.runner.Runner;

/** Serves one request; confined to one thread. */
final class RequestHandler {

    /** Answers from this status on hand no tokens to the caller. */
    private static final int LOWEST_STATUS_WITHOUT_TOKENS = 300;

    private static final String NO_QUORUM = "no quorum of keepers";

    private final ForwardingContext context;
    private final CallerConnection caller;
    private final InboundRequest request;
    private final byte[] input;
    private final BooleanSupplier closeAfterAnswer;
    private final CallMetadata call;
    private final Route route;
    private final Exchange exchange;
    private final RoutingConfiguration configuration;
    private final CallerIdentity identity;
    private final TurnLedger ledger;
    private final boolean fromPeer;
    private final CrashGuard crashGuard;

    /** Whether a runner may have run the request before another entry node passed it on. */
    private final boolean mayHaveRunBefore;

    /** The service that the request is sent to; that of its origin if it resumes a stream. */
    private String service;

    /** Writes the answer; null before the request is sent. */
    private AnswerWriter writer;

    /**
     * @param fromPeer whether another entry node has passed the request on
     * @param sample selects the service among those of the route, uniform in [0, 1)
     */
    RequestHandler(
            ForwardingContext context,
            CallerConnection caller,
            InboundRequest request,
            byte[] input,
            BooleanSupplier closeAfterAnswer,
            CallMetadata call,
            Route route,
            RoutingConfiguration configuration,
            CallerIdentity identity,
            Exchange exchange,
            boolean fromPeer,
            double sample) {
        this.context = context;
        this.caller = caller;
        this.request = request;
        this.input = input;
        this.closeAfterAnswer = closeAfterAnswer;
        this.call = call;
        this.route = route;
        this.exchange = exchange;
        this.configuration = configuration;
        this.identity = identity;
        this.ledger = context.ledgerOf(identity);
        this.fromPeer = fromPeer;
        this.mayHaveRunBefore = fromPeer && PeerRelay.mayHaveRun(request.fields());
        this.service = route.selectService(sample);
        this.crashGuard =
                new CrashGuard(
                        context.quarantine(),
                        context.crashDetector(),
                        context.reportCrash(),
                        () ->
                                RequestFingerprint.of(
                                        identity.workspaceName(),
                                        request.method(),
                                        request.fields().first("Host"),
                                        request.target(),
                                        input));
    }

    private boolean hasEvents() {
        return writer != null && writer.hasEvents();
    }

    /** Serves the request; returns whether the connection may serve another one. */
    boolean serve(RequestLog.Entry entry) throws InterruptedException {
        entry.service = service;
        if (mayLeaveToPeer()) {
            return leaveToPeer(route.maxAttempts(), false, false, entry);
        }
        Optional<Refusal> quarantined = crashGuard.refusal();
        if (quarantined.isPresent()) {
            entry.fingerprint = crashGuard.fingerprintText();
            return refuse(quarantined.get(), entry);
        }
        return admitAndSend(entry);
    }

    private boolean admitAndSend(RequestLog.Entry entry) throws InterruptedException {
        RequestAdmission admission =
                new RequestAdmission(
                        context.pool(),
                        ledger,
                        call,
                        route,
                        service,
                        exchange::remainingMs,
                        this::hasEvents);
        if ((admission.needsLedger() || route.storesTurns())
                && !ledger.awaitFirstQuorum(Forwarder.startupWaitMs(call))) {
            return serveWithoutLedger(entry);
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
            return refuse(refusal, entry);
        }
        return send(body, admission.needsTokens(), binding, entry);
    }

    /**
     * Lets another entry node serve a request that needs the ledger, as this one reaches too few
     * storage nodes. Nothing of the request has been reserved or sent.
     */
    private boolean serveWithoutLedger(RequestLog.Entry entry) throws InterruptedException {
        if (fromPeer) {
            return refuse(Refusal.misdirected(NO_QUORUM), entry);
        }
        return context.peerRelay().hasPeers()
                ? leaveToPeer(route.maxAttempts(), false, false, entry)
                : refuse(Refusal.notRun(Forwarder.OTHER_NODE_RETRY_AFTER_MS, NO_QUORUM), entry);
    }

    private boolean refuse(Refusal refusal, RequestLog.Entry entry) {
        return context.refusals()
                .refuse(
                        caller,
                        call.requestId(),
                        refusal.ifMayHaveRun(mayHaveRunBefore),
                        closeAfterAnswer,
                        entry);
    }

    private Future<ChainOutcome> startChain() {
        if (!route.storesTurns() || call.previousTurn().isEmpty()) {
            return null;
        }
        return context.executor()
                .submit(() -> ledger.chain(call.previousTurn(), storageTimeoutMs()));
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
        writer = answerWriter(route.storesTurns());
        OutboundRequest outboundRequest =
                forRunner(outboundRequest(body, this::storeTurn, route.retryable()));
        RetryLoop loop =
                new RetryLoop(
                        context.pool(),
                        context.admission(),
                        context.sender(),
                        context.observers(outboundRequest),
                        route,
                        service,
                        outboundRequest,
                        exchange,
                        writer,
                        binding,
                        !call.previousTurn().isEmpty(),
                        crashGuard,
                        this::mayLeaveToPeer);
        RetryOutcome outcome = loop.run();
        entry.runner = loop.lastRunner();
        entry.runnerVersion = loop.lastRunnerVersion();
        entry.runnerLimit = loop.lastRunnerLimit();
        entry.limitDelayMs = loop.limitDelayMs();
        entry.sends = loop.sends();
        entry.fingerprint = crashGuard.fingerprintText();
        context.requestLog().countSendsToLimitedRunners(loop.sendsToLimitedRunners());
        entry.tokens = writer.tokensWritten();
        entry.framing = writer.runnerFraming();
        entry.trailingBytes = writer.trailingBytes();
        if (outcome.leftToPeer()) {
            return leaveToPeer(
                    loop.attemptedRunners().remaining(),
                    loop.attemptedRunners().mayHaveRun(),
                    reserved,
                    entry);
        }
        boolean settledByAppend = writer.isComplete() && route.storesTurns();
        if (reserved && !settledByAppend) {
            settle(writer.tokensWritten());
        }
        return finish(outcome, writer, entry);
    }

    private AnswerWriter answerWriter(boolean recordsOutput) {
        TargetService target = configuration.service(service);
        int tokensPerEvent = target == null ? 1 : target.tokensPerEvent();
        return new AnswerWriter(
                caller,
                closeAfterAnswer,
                tokensPerEvent,
                recordsOutput,
                route.resumable() ? call.lastEventId() : "",
                this::answerFields);
    }

    private HeaderFields answerFields(HeaderFields fields, Runner runner) {
        boolean namesRunner =
                fromPeer && runner != null && context.dialect().reportsLeaving(fields);
        return namesRunner
                ? PeerRelay.toPeerAnswer(fields, runner)
                : PeerRelay.toCallerAnswer(fields);
    }

    private OutboundRequest outboundRequest(
            byte[] body, RequestSender.StreamEndHook streamEndHook, boolean relaysUnmarkedRefusal) {
        boolean stream = route.kind() == RouteKind.STREAM;
        return new OutboundRequest(
                call.requestId(),
                request.method(),
                request.target(),
                PeerRelay.callerFields(Framing.endToEnd(request.fields())),
                body,
                identity.priority(route),
                stream ? call.estimatedOutputTokens() : 1,
                call.prompt(),
                call.placementOn(route, configuration.capacityTokens(service)),
                stream,
                streamEndHook,
                relaysUnmarkedRefusal,
                Optional::empty,
                OutboundRequest.NO_HEAD_TIMEOUT);
    }

    /** Another entry node checks the key itself, and names the workspace to the runner. */
    private OutboundRequest forRunner(OutboundRequest outbound) {
        return outbound.withIdentity(
                identity.isDeclared()
                        ? context.dialect()
                                .toWorkspaceFields(outbound.fields(), identity.workspaceName())
                        : outbound.fields(),
                () -> context.keys().refusalBeforeSend(identity, request));
    }

    private boolean mayLeaveToPeer() {
        return context.peerRelay().isNeeded();
    }

    /**
     * Lets another entry node serve the request, or the node from which it came decide on it.
     *
     * @param mayHaveRun whether a runner may have run the request already
     * @param reserved whether this node has reserved tokens; the other one counts the same
     *     reservation and settles it, unless it refuses the request before
     */
    private boolean leaveToPeer(
            int maxAttempts, boolean mayHaveRun, boolean reserved, RequestLog.Entry entry)
            throws InterruptedException {
        if (fromPeer) {
            return returnToPeer(mayHaveRun, reserved, entry);
        }
        writer = answerWriter(false);
        PeerRelay.Relayed relayed =
                context.peerRelay()
                        .relay(
                                outboundRequest(input, _ -> true, true),
                                new PeerRelay.Terms(
                                        maxAttempts, mayHaveRun, configuration.version()),
                                exchange,
                                writer);
        entry.peer = relayed.peer();
        entry.tokens = writer.tokensWritten();
        Refusal refusal =
                switch (relayed.result()) {
                    case SendResult.NotRun notRun -> {
                        if (reserved) {
                            settle(0);
                        }
                        String cause = mayLeaveToPeer() ? "no runner is reachable" : NO_QUORUM;
                        String reason = cause + ": " + notRun.reason();
                        yield mayHaveRun
                                ? Refusal.mayHaveRun(reason)
                                : Refusal.notRun(Forwarder.OTHER_NODE_RETRY_AFTER_MS, reason);
                    }
                    case SendResult.MayHaveRun broken ->
                            exchange.isExpired()
                                    ? Refusal.timedOut("no answer in time")
                                    : Refusal.mayHaveRun(broken.reason());
                    case SendResult.Delivered delivered -> {
                        if (reserved && delivered.status() >= LOWEST_STATUS_WITHOUT_TOKENS) {
                            settle(0);
                        }
                        yield null;
                    }
                    case SendResult.BrokenOff brokenOff -> null;
                    case SendResult.NotContinued notContinued -> null;
                    case SendResult.CallerLost lost -> null;
                };
        return finish(new RetryOutcome(relayed.result(), refusal), writer, entry);
    }

    /**
     * Rejects a request of another entry node, as this node reaches no runner either.
     *
     * @param reserved whether this node has reserved tokens; no third node may serve the request
     *     then, since what it spends would not count after this node's settlement
     */
    private boolean returnToPeer(boolean mayHaveRun, boolean reserved, RequestLog.Entry entry) {
        if (reserved) {
            settle(0);
        }
        String reason = "this node reaches no runner";
        Refusal rejection =
                reserved
                        ? Refusal.notRun(Forwarder.OTHER_NODE_RETRY_AFTER_MS, reason)
                        : Refusal.misdirected(reason);
        return refuse(mayHaveRun ? Refusal.mayHaveRun(reason) : rejection, entry);
    }

    private boolean finish(RetryOutcome outcome, AnswerWriter writer, RequestLog.Entry entry) {
        if (outcome.refusal() != null && !writer.hasBegun()) {
            return refuse(outcome.refusal(), entry);
        }
        return switch (outcome.result()) {
            case SendResult.Delivered delivered -> {
                entry.status = delivered.status();
                context.requestLog().logEnd("delivered", entry);
                yield !writer.closesConnection();
            }
            case SendResult.CallerLost lost -> abortCaller("caller_lost", lost.reason(), entry);
            case SendResult.BrokenOff broken -> abortCaller("broken_off", broken.reason(), entry);
            case SendResult.NotContinued notContinued ->
                    abortCaller("broken_off", notContinued.reason(), entry);
            case SendResult.MayHaveRun broken -> abortCaller("broken_off", broken.reason(), entry);
            case SendResult.NotRun notRun -> abortCaller("broken_off", notRun.reason(), entry);
        };
    }

    private boolean abortCaller(String outcome, String reason, RequestLog.Entry entry) {
        entry.reason = exchange.isExpired() ? "deadline exceeded: " + reason : reason;
        context.requestLog().logEnd(outcome, entry);
        caller.abort();
        return false;
    }

    /** Stores the turn before the end of its answer is written; true if there is none to store. */
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
        return Math.max(1, exchange.remainingMs() / Forwarder.STORAGE_TIMEOUT_DIVISOR);
    }
}
