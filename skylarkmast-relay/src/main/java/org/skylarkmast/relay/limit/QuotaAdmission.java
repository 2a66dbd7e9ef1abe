package org.skylarkmast.relay.limit;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.route.Workspace;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admits requests of workspaces by their allowances, which hold for all entry nodes together;
 * thread-safe.
 *
 * <p>One storage node, the granter, leases tokens of a workspace to all entry nodes. A request that
 * finds no token waits for one call; requests that arrive during a call share the next one. While
 * the granter does not answer, this node admits by its own share. {@link LocalAllowance} decides.
 */
public final class QuotaAdmission {
    private static final Logger LOG = LoggerFactory.getLogger(QuotaAdmission.class);

    /**
     * Longest wait of a request: for a call to the granter and calls to two storage nodes that pass
     * it on, which time out after 150 ms each.
     */
    private static final long MAX_WAIT_MS = 500;

    /** Time after which a workspace without requests is forgotten. */
    private static final long IDLE_RETENTION_NS = TimeUnit.SECONDS.toNanos(60);

    /** Number of entry nodes assumed if it is unknown, well above that of most fleets. */
    private static final int ASSUMED_ENTRY_NODES = 100;

    private final String node;
    private final QuotaTolerance tolerance;
    private final Supplier<LedgerView> views;
    private final LeaseClient client;
    private final IntSupplier entryNodes;
    private final Executor executor;
    private final LongSupplier clockNs;
    private final DoubleSupplier random;
    private final QuotaMetrics metrics;
    private final UnansweredCalls unanswered;

    private final Map<String, LocalAllowance> allowances = new HashMap<>();
    private final Map<LedgerView.Member, Calls> callsByGranter = new HashMap<>();
    private final Set<LedgerView.Member> confirmedAway = new HashSet<>();
    private long sweptNs;

    /** The calls to one granter, of which one at a time is in progress. */
    private static final class Calls {
        private Map<String, List<CompletableFuture<QuotaDecision>>> waiting = new LinkedHashMap<>();
        private boolean inProgress;
    }

    private record Batch(
            LedgerView view,
            Map<String, List<CompletableFuture<QuotaDecision>>> waiting,
            LeaseRequest request,
            long sentNs) {}

    /**
     * @param node name of this entry node
     * @param views returns the view in force
     * @param entryNodes number of entry nodes last known, 0 if unknown
     * @param executor runs calls to granters
     * @param clockNs monotonic clock, in ns
     * @param random uniform in [0, 1)
     */
    public QuotaAdmission(
            String node,
            QuotaTolerance tolerance,
            Supplier<LedgerView> views,
            LeaseClient client,
            IntSupplier entryNodes,
            Executor executor,
            LongSupplier clockNs,
            DoubleSupplier random,
            PrometheusRegistry registry) {
        this.node = node;
        this.tolerance = tolerance;
        this.views = views;
        this.client = client;
        this.entryNodes = entryNodes;
        this.executor = executor;
        this.clockNs = clockNs;
        this.random = random;
        this.metrics = new QuotaMetrics(registry);
        this.unanswered =
                new UnansweredCalls(clockNs, "quota_granter_lost", "quota_granter_regained");
        this.sweptNs = clockNs.getAsLong();
    }

    /**
     * Decides on a request of {@code workspace}; may wait for a call to the granter.
     *
     * @param configurationVersion version of the configuration that states the allowance
     */
    public QuotaDecision admit(Workspace workspace, long configurationVersion)
            throws InterruptedException {
        QuotaDecision decision =
                workspace.isLimited()
                        ? admitLimited(workspace, configurationVersion)
                        : new QuotaDecision.Admitted(QuotaSource.UNLIMITED);
        metrics.count(decision);
        return decision;
    }

    private QuotaDecision admitLimited(Workspace workspace, long version)
            throws InterruptedException {
        CompletableFuture<QuotaDecision> future;
        synchronized (this) {
            long nowNs = clockNs.getAsLong();
            removeIdle(nowNs);
            LocalAllowance allowance =
                    allowances.computeIfAbsent(
                            workspace.name(),
                            _ -> new LocalAllowance(tolerance, workspace, version, random, nowNs));
            allowance.apply(workspace, version);
            allowance.countDemand(nowNs);
            Optional<LedgerView.Member> granter = granter(views.get(), workspace.name());
            if (granter.isEmpty() || unanswered.isUnanswered(granter.get())) {
                granter.filter(member -> !unanswered.isPaused(member))
                        .ifPresent(member -> call(member, workspace.name()));
                return decideByOwnShare(allowance, granter, nowNs);
            }
            Optional<QuotaDecision> decision = allowance.decide(nowNs);
            if (decision.isPresent()) {
                if (allowance.needsRefresh(nowNs)) {
                    call(granter.get(), workspace.name());
                }
                return decision.get();
            }
            future = new CompletableFuture<>();
            call(granter.get(), workspace.name()).add(future);
        }
        return await(future, workspace.name());
    }

    private QuotaDecision await(CompletableFuture<QuotaDecision> future, String workspace)
            throws InterruptedException {
        try {
            return future.get(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            synchronized (this) {
                if (!future.isDone()) {
                    decideByOwnShare(workspace, List.of(future));
                }
                return future.join();
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException("requesting a lease failed", e.getCause());
        } finally {
            // A token that is granted to a request that was interrupted goes to another one.
            future.cancel(false);
        }
    }

    /** Returns the length of the window in which requests count against an allowance, in ms. */
    public long windowMs() {
        return (long) (tolerance.windowS() * TimeUnit.SECONDS.toMillis(1));
    }

    /** Gives back the place of a request of {@code workspace} that was admitted and did not run. */
    public synchronized void giveBack(Workspace workspace) {
        LocalAllowance allowance = allowances.get(workspace.name());
        if (workspace.isLimited() && allowance != null) {
            allowance.giveBack();
            metrics.countGivenBack();
        }
    }

    /** Whether no storage node has confirmed that the granter is away. */
    private boolean isIsolatedFrom(Optional<LedgerView.Member> granter) {
        return granter.isEmpty() || !confirmedAway.contains(granter.get());
    }

    private LocalAllowance allowance(String workspace) {
        return allowances.get(workspace);
    }

    private int knownEntryNodes() {
        int known = entryNodes.getAsInt();
        return known == 0 ? ASSUMED_ENTRY_NODES : known;
    }

    private static Optional<LedgerView.Member> granter(LedgerView view, String workspace) {
        return StorageNodeSelection.select(view, workspace);
    }

    /** Includes a workspace in the next call; returns the requests that wait for it. */
    private List<CompletableFuture<QuotaDecision>> call(
            LedgerView.Member granter, String workspace) {
        Calls calls = callsByGranter.computeIfAbsent(granter, _ -> new Calls());
        if (!calls.inProgress) {
            calls.inProgress = true;
            executor.execute(() -> runCalls(granter, calls));
        }
        return calls.waiting.computeIfAbsent(workspace, _ -> new ArrayList<>());
    }

    private void runCalls(LedgerView.Member granter, Calls calls) {
        for (Batch batch = nextBatch(granter, calls);
                batch != null;
                batch = nextBatch(granter, calls)) {
            LeaseOutcome outcome = new LeaseOutcome.Isolated();
            try {
                outcome = client.request(granter, batch.view(), batch.request());
            } catch (RuntimeException e) {
                LOG.atError().addKeyValue("event", "quota_call_failed").setCause(e).log();
            }
            finish(granter, batch, outcome);
        }
    }

    /** Returns the next call, or null if nothing is left to call for. */
    private synchronized Batch nextBatch(LedgerView.Member granter, Calls calls) {
        LedgerView view = views.get();
        Map<String, List<CompletableFuture<QuotaDecision>>> taken = calls.waiting;
        calls.waiting = new LinkedHashMap<>();
        Map<String, List<CompletableFuture<QuotaDecision>>> batch = new LinkedHashMap<>();
        taken.forEach(
                (workspace, futures) -> {
                    if (isGranter(granter, view, workspace)) {
                        batch.put(workspace, futures);
                    } else {
                        reassign(view, workspace, futures);
                    }
                });
        if (batch.isEmpty()) {
            calls.inProgress = false;
            callsByGranter.remove(granter, calls);
            return null;
        }
        long nowNs = clockNs.getAsLong();
        allowances.forEach(
                (workspace, allowance) -> {
                    if (allowance.hasReturns(nowNs) && isGranter(granter, view, workspace)) {
                        batch.putIfAbsent(workspace, List.of());
                    }
                });
        List<LeaseRequest.Item> items = new ArrayList<>();
        batch.forEach(
                (workspace, futures) ->
                        items.add(allowance(workspace).request(futures.size(), nowNs)));
        return new Batch(view, batch, new LeaseRequest(node, items), nowNs);
    }

    private static boolean isGranter(LedgerView.Member member, LedgerView view, String workspace) {
        return granter(view, workspace).filter(member::equals).isPresent();
    }

    /** Leaves the requests of a workspace to its granter by a newer view. */
    private void reassign(
            LedgerView view, String workspace, List<CompletableFuture<QuotaDecision>> futures) {
        Optional<LedgerView.Member> granter = granter(view, workspace);
        if (granter.isPresent()) {
            call(granter.get(), workspace).addAll(futures);
        } else {
            decideByOwnShare(workspace, futures);
        }
    }

    private synchronized void finish(LedgerView.Member granter, Batch batch, LeaseOutcome outcome) {
        boolean answered = outcome instanceof LeaseOutcome.Granted;
        boolean viewChanged = !answered && views.get().version() != batch.view().version();
        metrics.countCall(answered);
        if (!viewChanged) {
            unanswered.record(granter, answered);
        }
        int index = 0;
        for (Map.Entry<String, List<CompletableFuture<QuotaDecision>>> entry :
                batch.waiting().entrySet()) {
            int item = index++;
            LocalAllowance allowance = allowance(entry.getKey());
            if (allowance == null) {
                continue;
            }
            if (viewChanged) {
                reassign(views.get(), entry.getKey(), entry.getValue());
                continue;
            }
            switch (outcome) {
                case LeaseOutcome.Granted granted -> {
                    confirmedAway.remove(granter);
                    LeaseGrant grant = granted.grants().get(item);
                    metrics.countTokens(grant.tokens());
                    long nowNs = clockNs.getAsLong();
                    allowance.granted(
                            batch.request().items().get(item), grant, batch.sentNs(), nowNs);
                    for (CompletableFuture<QuotaDecision> future : entry.getValue()) {
                        complete(future, allowance, allowance.decideAfterGrant(nowNs));
                    }
                }
                case LeaseOutcome.GranterAway _ -> {
                    confirmedAway.add(granter);
                    decideByOwnShare(entry.getKey(), entry.getValue());
                }
                case LeaseOutcome.Isolated _ -> {
                    confirmedAway.remove(granter);
                    decideByOwnShare(entry.getKey(), entry.getValue());
                }
            }
        }
    }

    private void decideByOwnShare(
            String workspace, List<CompletableFuture<QuotaDecision>> futures) {
        LocalAllowance allowance = allowance(workspace);
        Optional<LedgerView.Member> granter = granter(views.get(), workspace);
        for (CompletableFuture<QuotaDecision> future : futures) {
            complete(future, allowance, decideByOwnShare(allowance, granter, clockNs.getAsLong()));
        }
    }

    private QuotaDecision decideByOwnShare(
            LocalAllowance allowance, Optional<LedgerView.Member> granter, long nowNs) {
        long lostNs =
                granter.map(member -> unanswered.unansweredSinceNs(member, nowNs)).orElse(nowNs);
        return allowance.decideByOwnShare(
                isIsolatedFrom(granter), knownEntryNodes(), lostNs, nowNs);
    }

    private static void complete(
            CompletableFuture<QuotaDecision> future,
            LocalAllowance allowance,
            QuotaDecision decision) {
        if (!future.complete(decision) && decision instanceof QuotaDecision.Admitted) {
            allowance.giveBack();
        }
    }

    private void removeIdle(long nowNs) {
        if (nowNs - sweptNs > IDLE_RETENTION_NS) {
            sweptNs = nowNs;
            allowances
                    .values()
                    .removeIf(allowance -> allowance.isIdleSince(nowNs - IDLE_RETENTION_NS));
        }
    }
}
