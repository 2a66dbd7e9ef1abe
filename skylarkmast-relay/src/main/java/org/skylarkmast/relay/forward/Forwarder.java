package org.skylarkmast.relay.forward;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.LongPredicate;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.InboundRequest;
import org.skylarkmast.relay.http.MalformedMessageException;
import org.skylarkmast.relay.http.RunnerConnectionPool;
import org.skylarkmast.relay.ledger.TurnLedger;
import org.skylarkmast.relay.limit.QuotaAdmission;
import org.skylarkmast.relay.limit.SendAdmission;
import org.skylarkmast.relay.quarantine.Quarantine;
import org.skylarkmast.relay.route.Route;
import org.skylarkmast.relay.route.RoutingConfiguration;
import org.skylarkmast.relay.route.RoutingState;
import org.skylarkmast.relay.route.Workspace;
import org.skylarkmast.relay.runner.RunnerPool;

/** Serves callers' requests, each on the thread of its caller's connection; thread-safe. */
public final class Forwarder {

    /** Time after the deadline to write the answer before the caller's connection is aborted. */
    private static final long ABORT_DELAY_MS = 300;

    /**
     * Divisor of the available time for the part of it that a request waits for storage nodes while
     * too few of them answer.
     */
    static final int STORAGE_TIMEOUT_DIVISOR = 3;

    /**
     * Maximum wait for the first configuration and the first storage nodes, which normally takes
     * about 100 ms.
     */
    private static final long MAX_STARTUP_WAIT_MS = 800;

    /**
     * Retry-After if another entry node may succeed, because it has a configuration or can reach
     * storage nodes that this one cannot.
     */
    static final long OTHER_NODE_RETRY_AFTER_MS = 100;

    private final RoutingState routing;
    private final ForwardingContext context;
    private final WireDialect dialect;
    private final LongPredicate admitsLimitMs;
    private final ScheduledExecutorService timers;
    private final DoubleSupplier random;
    private final WorkspaceQuota quota;
    private final Set<Exchange> activeExchanges = ConcurrentHashMap.newKeySet();

    /** The route of a request, the configuration with that route, and who the caller is. */
    private record AdmittedRoute(
            Route route, RoutingConfiguration configuration, CallerIdentity identity) {}

    /**
     * @param reportCrash reports a runner's crash to the other nodes; must not block
     * @param admitsLimitMs whether a request that may last this many ms can be served before the
     *     node ends
     * @param executor runs ledger reads concurrently with a reservation
     * @param random uniform in [0, 1)
     * @param quota admits requests by the allowances of their workspaces
     */
    public Forwarder(
            RoutingState routing,
            KeyAdmission keys,
            RunnerPool pool,
            RunnerConnectionPool connections,
            SendAdmission admission,
            RunnerContact contact,
            Quarantine quarantine,
            RunnerCrashDetector crashDetector,
            Runnable reportCrash,
            PeerRelay peerRelay,
            WireDialect dialect,
            TurnLedger ledger,
            RequestLog requestLog,
            LongPredicate admitsLimitMs,
            ExecutorService executor,
            ScheduledExecutorService timers,
            DoubleSupplier random,
            QuotaAdmission quota) {
        this.routing = routing;
        this.context =
                new ForwardingContext(
                        keys,
                        pool,
                        admission,
                        contact,
                        quarantine,
                        crashDetector,
                        reportCrash,
                        new RequestSender(connections, dialect::toRunnerFields, dialect, timers),
                        peerRelay,
                        dialect,
                        ledger,
                        requestLog,
                        new RefusalWriter(dialect, requestLog),
                        executor);
        this.dialect = dialect;
        this.admitsLimitMs = admitsLimitMs;
        this.timers = timers;
        this.random = random;
        this.quota = new WorkspaceQuota(quota, System::nanoTime);
    }

    /**
     * Serves one request of a caller whose body has been read.
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
        return serve(caller, request, body, closeAfterAnswer, false);
    }

    /** Serves one request that another entry node has passed on; as {@link #serve}. */
    public boolean servePeer(
            CallerConnection peer,
            InboundRequest request,
            byte[] body,
            BooleanSupplier closeAfterAnswer)
            throws InterruptedException {
        return serve(peer, request, body, closeAfterAnswer, true);
    }

    /**
     * Decides by its head alone whether a request is rejected, so that no body is read of one that
     * is. Waits for the first configuration as {@link #serve} does. The configuration may change
     * before {@link #serve} decides again.
     *
     * @param fromPeer whether another entry node passes the request on
     */
    public Optional<Refusal> refusalBeforeBody(InboundRequest request, boolean fromPeer)
            throws InterruptedException {
        CallMetadata call;
        try {
            call = dialect.parseCallMetadata(request.fields());
        } catch (MalformedMessageException e) {
            return Optional.of(Refusal.of(400, e.getMessage()));
        }
        RoutingConfiguration configuration = awaitConfiguration(call);
        Refusal refusal = refusalByConfiguration(request, configuration, fromPeer);
        if (refusal != null) {
            return Optional.of(refusal);
        }
        return refusalByRoute(configuration, request, fromPeer)
                .map(
                        found ->
                                found.ifMayHaveRun(
                                        fromPeer && PeerRelay.mayHaveRun(request.fields())));
    }

    private Optional<Refusal> refusalByRoute(
            RoutingConfiguration configuration, InboundRequest request, boolean fromPeer) {
        Route route = configuration.match(request.fields().first("Host"), request.path());
        if (route == null) {
            return Optional.of(Refusal.of(404, "no route"));
        }
        return switch (context.keys().decideByHead(configuration, route, request)) {
            case KeyDecision.Admitted admitted -> Optional.empty();
            case KeyDecision.Rejected rejected ->
                    Optional.of(keyRefusal(rejected.refusal(), fromPeer));
        };
    }

    /**
     * Writes {@code refusal}, as decided by {@link #refusalBeforeBody}.
     *
     * @param closeAfterAnswer as for {@link #serve}
     * @return whether the connection may serve another request
     */
    public boolean refuse(
            CallerConnection caller,
            InboundRequest request,
            Refusal refusal,
            BooleanSupplier closeAfterAnswer,
            boolean fromPeer) {
        RequestLog.Entry entry = context.requestLog().begin();
        entry.fromPeer = fromPeer;
        try {
            entry.requestId = dialect.parseCallMetadata(request.fields()).requestId();
        } catch (MalformedMessageException e) {
            // The request has no usable id; the refusal says why.
        }
        return context.refusals().refuse(caller, entry.requestId, refusal, closeAfterAnswer, entry);
    }

    private boolean serve(
            CallerConnection caller,
            InboundRequest request,
            byte[] body,
            BooleanSupplier closeAfterAnswer,
            boolean fromPeer)
            throws InterruptedException {
        RequestLog.Entry entry = context.requestLog().begin();
        try {
            return serve(caller, request, body, closeAfterAnswer, fromPeer, entry);
        } finally {
            context.requestLog().logFailed(entry);
        }
    }

    private boolean serve(
            CallerConnection caller,
            InboundRequest request,
            byte[] body,
            BooleanSupplier closeAfterAnswer,
            boolean fromPeer,
            RequestLog.Entry entry)
            throws InterruptedException {
        CallMetadata call;
        try {
            call = dialect.parseCallMetadata(request.fields());
        } catch (MalformedMessageException e) {
            return context.refusals()
                    .refuse(caller, "", Refusal.of(400, e.getMessage()), closeAfterAnswer, entry);
        }
        entry.fromPeer = fromPeer;
        RoutingConfiguration configuration = awaitConfiguration(call);
        Refusal refusal = refusalByConfiguration(request, configuration, fromPeer);
        if (refusal != null) {
            return context.refusals()
                    .refuse(caller, call.requestId(), refusal, closeAfterAnswer, entry);
        }
        entry.version = configuration.version();
        entry.requestId = call.requestId();
        entry.program = call.program();
        entry.resumedRequestId = call.resumedRequestId();
        Route matched = configuration.match(request.fields().first("Host"), request.path());
        if (matched == null) {
            return context.refusals()
                    .refuse(
                            caller,
                            call.requestId(),
                            Refusal.of(404, "no route")
                                    .ifMayHaveRun(
                                            fromPeer && PeerRelay.mayHaveRun(request.fields())),
                            closeAfterAnswer,
                            entry);
        }
        Route route =
                fromPeer
                        ? matched.withMaxAttempts(
                                PeerRelay.maxAttempts(request.fields(), matched.maxAttempts()))
                        : matched;
        entry.route = route.name();
        return serveMatched(
                caller,
                request,
                body,
                closeAfterAnswer,
                call,
                route,
                configuration,
                fromPeer,
                entry);
    }

    private boolean serveMatched(
            CallerConnection caller,
            InboundRequest request,
            byte[] body,
            BooleanSupplier closeAfterAnswer,
            CallMetadata call,
            Route route,
            RoutingConfiguration configuration,
            boolean fromPeer,
            RequestLog.Entry entry)
            throws InterruptedException {
        return switch (context.keys().decide(configuration, route, request)) {
            case KeyDecision.Rejected rejected -> {
                entry.workspace = rejected.workspace();
                boolean mayHaveRun = fromPeer && PeerRelay.mayHaveRun(request.fields());
                Refusal refusal = keyRefusal(rejected.refusal(), fromPeer).ifMayHaveRun(mayHaveRun);
                yield context.refusals()
                        .refuse(caller, call.requestId(), refusal, closeAfterAnswer, entry);
            }
            case KeyDecision.Admitted admitted -> {
                entry.workspace = admitted.identity().workspaceName().orElse("");
                yield serveWithinAllowance(
                        caller,
                        request,
                        body,
                        closeAfterAnswer,
                        call,
                        new AdmittedRoute(route, configuration, admitted.identity()),
                        fromPeer,
                        entry);
            }
        };
    }

    /** The entry node that passed a request on tries another one if this one is misdirected. */
    private static Refusal keyRefusal(Refusal refusal, boolean fromPeer) {
        return fromPeer && refusal.isTemporary() ? Refusal.misdirected(refusal.reason()) : refusal;
    }

    private RoutingConfiguration awaitConfiguration(CallMetadata call) throws InterruptedException {
        long startupWaitMs = startupWaitMs(call);
        return routing.await(admitsLimitMs.test(startupWaitMs) ? startupWaitMs : 0);
    }

    /** Returns why the configuration in force does not suffice for a request, or null. */
    private Refusal refusalByConfiguration(
            InboundRequest request, RoutingConfiguration configuration, boolean fromPeer) {
        return fromPeer ? peerRefusal(request, configuration) : configurationRefusal(configuration);
    }

    /** Returns why a request of another entry node is left to a third one, or null. */
    private Refusal peerRefusal(InboundRequest request, RoutingConfiguration configuration) {
        if (context.peerRelay().isNeeded()) {
            return Refusal.misdirected("this node reaches no runner");
        }
        boolean isOlder =
                configuration == null
                        || configuration.version()
                                < PeerRelay.minConfigurationVersion(request.fields());
        return isOlder ? Refusal.misdirected("configuration is older") : null;
    }

    private static Refusal configurationRefusal(RoutingConfiguration configuration) {
        return configuration == null
                ? Refusal.notRun(OTHER_NODE_RETRY_AFTER_MS, "no configuration known yet")
                : null;
    }

    /** Serves a request unless the allowance of its workspace is used up. */
    private boolean serveWithinAllowance(
            CallerConnection caller,
            InboundRequest request,
            byte[] body,
            BooleanSupplier closeAfterAnswer,
            CallMetadata call,
            AdmittedRoute admitted,
            boolean fromPeer,
            RequestLog.Entry entry)
            throws InterruptedException {
        // The node from which a request comes has counted it.
        Workspace workspace = fromPeer ? null : admitted.identity().workspace().orElse(null);
        Optional<Refusal> overQuota =
                quota.refusal(workspace, admitted.configuration().version(), entry);
        if (overQuota.isPresent()) {
            return context.refusals()
                    .refuse(caller, call.requestId(), overQuota.get(), closeAfterAnswer, entry);
        }
        boolean connectionUsable =
                serveAdmitted(
                        caller, request, body, closeAfterAnswer, call, admitted, fromPeer, entry);
        quota.ended(workspace, entry);
        return connectionUsable;
    }

    private boolean serveAdmitted(
            CallerConnection caller,
            InboundRequest request,
            byte[] body,
            BooleanSupplier closeAfterAnswer,
            CallMetadata call,
            AdmittedRoute admitted,
            boolean fromPeer,
            RequestLog.Entry entry)
            throws InterruptedException {
        long remainingMs = admitted.route().timeoutMs();
        if (call.deadlineMs() != CallMetadata.UNSET) {
            remainingMs = Math.min(remainingMs, call.deadlineMs());
        }
        if (!admitsLimitMs.test(remainingMs)) {
            return context.refusals()
                    .refuse(
                            caller,
                            call.requestId(),
                            shuttingDown(fromPeer),
                            closeAfterAnswer,
                            entry);
        }
        Exchange exchange =
                new Exchange(
                        caller, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMs));
        activeExchanges.add(exchange);
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
                            context,
                            caller,
                            request,
                            body,
                            closeAfterAnswer,
                            call,
                            admitted.route(),
                            admitted.configuration(),
                            admitted.identity(),
                            exchange,
                            fromPeer,
                            random.getAsDouble());
            return handler.serve(entry);
        } finally {
            exchange.end();
            activeExchanges.remove(exchange);
            expiration.cancel(false);
            callerAbort.cancel(false);
        }
    }

    /** The entry node that passed a request on tries another one if this one is misdirected. */
    private static Refusal shuttingDown(boolean fromPeer) {
        String reason = "this node is shutting down";
        return fromPeer
                ? Refusal.misdirected(reason)
                : Refusal.notRun(OTHER_NODE_RETRY_AFTER_MS, reason);
    }

    /**
     * Ends the requests in progress as if their deadlines had passed: those whose answer has not
     * begun are answered as not run or timed out, the others are broken off.
     */
    public void expireAll() {
        activeExchanges.forEach(exchange -> exchange.expire(false));
    }

    /** Returns how long a request may wait for the data that a node receives after its start. */
    static long startupWaitMs(CallMetadata call) {
        boolean unset = call.deadlineMs() == CallMetadata.UNSET;
        long maxWaitMs = unset ? MAX_STARTUP_WAIT_MS : call.deadlineMs() / STORAGE_TIMEOUT_DIVISOR;
        return Math.min(MAX_STARTUP_WAIT_MS, maxWaitMs);
    }
}
