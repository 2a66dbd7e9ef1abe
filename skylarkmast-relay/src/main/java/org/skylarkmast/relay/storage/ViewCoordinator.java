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
 * Keeps the view fitting: exchanges state with other storage nodes, fetches missing copies and
 * publishes the next view when one is due.
 *
 * <p>Every storage node runs one. Publishing is a compare-and-swap, so two that act at once do no
 * harm. Used by one thread.
 */
public final class ViewCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(ViewCoordinator.class);
    private static final long PING_TIMEOUT_MS = 400;
    private static final long NS_PER_MS = 1_000_000;
    private static final long NEVER_MS = Long.MAX_VALUE / 4;

    private final QuorumMembership membership;
    private final CurrentView views;
    private final StorageNodeClient storageNodes;
    private final StorageNodeRegistry registry;
    private final RecordSync sync;
    private final boolean mayFound;
    private final int leastStorageNodes;
    private final LongSupplier clockNs;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<LedgerView.Member, StorageNodeStatus> statuses = new HashMap<>();
    private final Map<LedgerView.Member, Long> heardNs = new HashMap<>();
    private final Set<String> retirementsDone = new HashSet<>();
    private final Set<String> retirementsBegun = new HashSet<>();
    private LedgerView previousView = LedgerView.NONE;

    /**
     * @param mayFound whether the whole system starts for the first time, so that the first view
     *     may be founded
     * @param leastStorageNodes storage nodes that must stay
     */
    public ViewCoordinator(
            RecordIndex index,
            QuorumMembership membership,
            CurrentView views,
            StorageNodeClient storageNodes,
            StorageNodeRegistry registry,
            boolean mayFound,
            int leastStorageNodes,
            LongSupplier clockNs) {
        this.membership = membership;
        this.views = views;
        this.storageNodes = storageNodes;
        this.registry = registry;
        this.sync = new RecordSync(index, membership, views, storageNodes);
        this.mayFound = mayFound;
        this.leastStorageNodes = leastStorageNodes;
        this.clockNs = clockNs;
    }

    /** Does one round. */
    public void round() throws InterruptedException {
        LedgerView view = views.current();
        if (view.version() == 0) {
            found();
            return;
        }
        ping(view);
        if (fetches(view)) {
            List<LedgerView.Member> leaving = new ArrayList<>(registry.registered());
            leaving.addAll(previousView.members());
            leaving.removeAll(view.members());
            leaving.removeIf(member -> silentMs(member) > PING_TIMEOUT_MS * 4);
            sync.run(view, leaving.stream().distinct().toList());
        }
        previousView = view;
        if (coordinates(view)) {
            change(view);
        }
    }

    /** A storage node fetches after each change of the view, also before it is a member. */
    private boolean fetches(LedgerView view) {
        boolean stays =
                view.contains(membership.self())
                        || !registry.retiring().contains(membership.self().node());
        return stays && membership.syncedVersion() != view.version();
    }

    private void found() {
        if (mayFound && registry.viewKnown() && !registry.registered().isEmpty()) {
            LedgerView first = LedgerView.NONE.with(membership.self());
            if (registry.publish(LedgerView.NONE, first)) {
                LOG.atInfo().addKeyValue("event", "first_view_published").log();
            }
        }
    }

    private void ping(LedgerView view) throws InterruptedException {
        Set<LedgerView.Member> known = new LinkedHashSet<>(view.members());
        known.addAll(registry.registered());
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
                heardNs.put(call.getKey(), clockNs.getAsLong());
                views.offer(status.view());
            } else {
                // Silence counts from the first attempt that failed.
                heardNs.putIfAbsent(call.getKey(), clockNs.getAsLong());
            }
        }
        statuses.keySet().retainAll(known);
        heardNs.keySet().retainAll(known);
    }

    /** The first reachable member by name acts, so that mostly one does. */
    private boolean coordinates(LedgerView view) {
        if (!membership.voting()) {
            return false;
        }
        for (LedgerView.Member member : view.members()) {
            boolean before = member.node().compareTo(membership.self().node()) < 0;
            if (before && statuses.containsKey(member) && silentMs(member) < 1500) {
                return false;
            }
        }
        return true;
    }

    private void change(LedgerView view) {
        Map<LedgerView.Member, ViewChange.Peer> peers = new HashMap<>();
        statuses.forEach(
                (member, status) ->
                        peers.put(member, new ViewChange.Peer(status, silentMs(member))));
        heardNs.forEach(
                (member, ns) ->
                        peers.putIfAbsent(member, new ViewChange.Peer(null, silentMs(member))));
        peers.put(membership.self(), new ViewChange.Peer(membership.status(), 0));
        Set<String> retiring = registry.retiring();
        LedgerView next =
                ViewChange.next(view, peers, registry.registered(), retiring, leastStorageNodes);
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
            boolean done = !member && ViewChange.settled(view, peers);
            Set<String> reported = done ? retirementsDone : retirementsBegun;
            if (!reported.contains(node) && registry.reportRetirement(node, done)) {
                reported.add(node);
            }
        }
    }

    private long silentMs(LedgerView.Member member) {
        if (member.equals(membership.self())) {
            return 0;
        }
        Long heard = heardNs.get(member);
        return heard == null ? NEVER_MS : (clockNs.getAsLong() - heard) / NS_PER_MS;
    }
}
