package org.skylarkmast.relay.storage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains the view: exchanges status with other storage nodes, fetches missing records and
 * publishes the next view when a change is due.
 *
 * <p>Every storage node runs one. Views are published by compare-and-swap, so two coordinators that
 * act at the same time do no harm. Not thread-safe.
 */
public final class ViewCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(ViewCoordinator.class);
    private static final long PING_TIMEOUT_MS = 400;

    /** Time since the last response after which records are not fetched from a storage node. */
    private static final long MAX_SILENCE_MS = PING_TIMEOUT_MS * 4;

    private static final long NS_PER_MS = 1_000_000;
    private static final long NEVER_MS = Long.MAX_VALUE / 4;

    private final QuorumMembership membership;
    private final CurrentView views;
    private final StorageNodeClient storageNodes;
    private final StorageNodeRegistry registry;
    private final RecordSync recordSync;
    private final boolean mayBootstrap;
    private final int minStorageNodes;
    private final LongSupplier clockNs;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<LedgerView.Member, StorageNodeStatus> statuses = new HashMap<>();
    private final Map<LedgerView.Member, Long> lastResponseNs = new HashMap<>();
    private final Set<LedgerView.Member> missedLastPing = new HashSet<>();
    private final Set<String> reportedDone = new HashSet<>();
    private final Set<String> reportedBegun = new HashSet<>();

    /**
     * @param mayBootstrap whether the system starts for the first time, so that the first view may
     *     be published
     * @param minStorageNodes number of storage nodes below which a view must not shrink
     */
    public ViewCoordinator(
            RecordIndex index,
            QuorumMembership membership,
            CurrentView views,
            StorageNodeClient storageNodes,
            StorageNodeRegistry registry,
            boolean mayBootstrap,
            int minStorageNodes,
            LongSupplier clockNs) {
        this.membership = membership;
        this.views = views;
        this.storageNodes = storageNodes;
        this.registry = registry;
        this.recordSync = new RecordSync(index, membership, views, storageNodes);
        this.mayBootstrap = mayBootstrap;
        this.minStorageNodes = minStorageNodes;
        this.clockNs = clockNs;
    }

    /** Runs one round; called periodically. */
    public void runRound() throws InterruptedException {
        LedgerView view = views.current();
        if (view.version() == 0) {
            publishFirstView();
            return;
        }
        ping(view);
        if (needsSync(view)) {
            recordSync.fetchMissing(view, syncSources());
        } else if (membership.voting()) {
            List<LedgerView.Member> sources = new ArrayList<>(view.members());
            sources.remove(membership.self());
            sources.removeIf(member -> sinceResponseMs(member) > MAX_SILENCE_MS);
            recordSync.fetchMissedTurns(view, sources);
        }
        if (isCoordinator(view)) {
            changeView(view);
        }
    }

    /**
     * Records are fetched after each change of the view, also before this storage node is a member,
     * unless its host is being retired.
     */
    private boolean needsSync(LedgerView view) {
        boolean remains =
                view.contains(membership.self())
                        || !registry.retiring().contains(membership.self().node());
        return remains && membership.syncedVersion(view) < view.version();
    }

    private Map<LedgerView.Member, Long> syncSources() {
        Map<LedgerView.Member, Long> sources = new HashMap<>();
        statuses.forEach(
                (member, status) -> {
                    if (sinceResponseMs(member) <= MAX_SILENCE_MS) {
                        sources.put(member, status.syncedVersion());
                    }
                });
        return sources;
    }

    private void publishFirstView() {
        if (mayBootstrap && registry.viewKnown() && !registry.registered().isEmpty()) {
            LedgerView first = LedgerView.NONE.with(membership.self());
            if (registry.publish(LedgerView.NONE, first)) {
                LOG.atInfo().addKeyValue("event", "first_view_published").log();
            }
        }
    }

    private void ping(LedgerView view) throws InterruptedException {
        Set<LedgerView.Member> known = new LinkedHashSet<>(view.members());
        known.addAll(registry.registered());
        LedgerView previous = membership.previousOf(view);
        if (previous != null && needsSync(view)) {
            known.addAll(previous.members());
        }
        known.remove(membership.self());
        byte[] body = LedgerCodec.encode(out -> LedgerCodec.writeView(out, view));
        Map<LedgerView.Member, Future<StorageNodeStatus>> calls = new HashMap<>();
        for (LedgerView.Member member : known) {
            calls.put(
                    member,
                    executor.submit(
                            () ->
                                    storageNodes.call(
                                            member,
                                            view.version(),
                                            LedgerOperation.PING,
                                            body,
                                            PING_TIMEOUT_MS,
                                            StorageNodeStatus::read)));
        }
        for (Map.Entry<LedgerView.Member, Future<StorageNodeStatus>> call : calls.entrySet()) {
            StorageNodeStatus status;
            try {
                status = call.getValue().get();
            } catch (java.util.concurrent.ExecutionException e) {
                LOG.atError().addKeyValue("event", "ping_failed").setCause(e).log();
                continue;
            }
            if (status != null) {
                statuses.put(call.getKey(), status);
                lastResponseNs.put(call.getKey(), clockNs.getAsLong());
                views.offer(status.view());
                missedLastPing.remove(call.getKey());
            } else {
                missedLastPing.add(call.getKey());
                // Without any response, the time counts from the first failed ping.
                lastResponseNs.putIfAbsent(call.getKey(), clockNs.getAsLong());
            }
        }
        statuses.keySet().retainAll(known);
        lastResponseNs.keySet().retainAll(known);
        missedLastPing.retainAll(known);
    }

    /** The first reachable voting member in order of name acts, so that usually only one does. */
    private boolean isCoordinator(LedgerView view) {
        if (!membership.voting()) {
            return false;
        }
        for (LedgerView.Member member : view.members()) {
            boolean before = member.node().compareTo(membership.self().node()) < 0;
            StorageNodeStatus status = statuses.get(member);
            if (before
                    && status != null
                    && status.voting()
                    && sinceResponseMs(member) < ViewChange.REACHABLE_MS) {
                return false;
            }
        }
        return true;
    }

    private void changeView(LedgerView view) {
        Map<LedgerView.Member, ViewChange.Peer> peers = new HashMap<>();
        lastResponseNs
                .keySet()
                .forEach(
                        member ->
                                peers.put(
                                        member,
                                        new ViewChange.Peer(
                                                statuses.get(member),
                                                sinceResponseMs(member),
                                                missedLastPing.contains(member))));
        peers.put(membership.self(), new ViewChange.Peer(membership.status(), 0, false));
        Set<String> retiring = registry.retiring();
        LedgerView next =
                ViewChange.next(view, peers, registry.registered(), retiring, minStorageNodes);
        if (next != null) {
            boolean published = registry.publish(view, next);
            LOG.atInfo()
                    .addKeyValue("event", "view_change")
                    .addKeyValue("from", view)
                    .addKeyValue("to", next)
                    .addKeyValue("published", published)
                    .log();
        }
        reportRetirements(view, peers, retiring);
    }

    private void reportRetirements(
            LedgerView view, Map<LedgerView.Member, ViewChange.Peer> peers, Set<String> retiring) {
        for (String node : retiring) {
            boolean member = view.members().stream().anyMatch(m -> m.node().equals(node));
            boolean done = !member && ViewChange.canBearLosses(view, peers, minStorageNodes - 1);
            Set<String> reported = done ? reportedDone : reportedBegun;
            if (!reported.contains(node) && registry.reportRetirement(node, done)) {
                reported.add(node);
            }
        }
    }

    private long sinceResponseMs(LedgerView.Member member) {
        if (member.equals(membership.self())) {
            return 0;
        }
        Long respondedNs = lastResponseNs.get(member);
        return respondedNs == null ? NEVER_MS : (clockNs.getAsLong() - respondedNs) / NS_PER_MS;
    }
}
