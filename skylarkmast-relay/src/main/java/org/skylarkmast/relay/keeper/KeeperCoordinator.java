package org.skylarkmast.relay.keeper;

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
import org.skylarkmast.relay.ledger.KeeperClient;
import org.skylarkmast.relay.ledger.KeeperView;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.ViewHolder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the view fitting: exchanges state with other keepers, fetches missing copies and publishes
 * the next view when one is due.
 *
 * <p>Every keeper runs one. Publishing is a compare-and-swap, so two that act at once do no harm.
 * Used by one thread.
 */
public final class KeeperCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(KeeperCoordinator.class);
    private static final long PING_TIMEOUT_MS = 400;
    private static final long NS_PER_MS = 1_000_000;
    private static final long NEVER_MS = Long.MAX_VALUE / 4;

    private final KeeperMembership membership;
    private final ViewHolder views;
    private final KeeperClient keepers;
    private final KeeperRegistry registry;
    private final KeeperSync sync;
    private final boolean mayFound;
    private final int leastKeepers;
    private final LongSupplier clockNs;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<KeeperView.Member, KeeperStatus> statuses = new HashMap<>();
    private final Map<KeeperView.Member, Long> heardNs = new HashMap<>();
    private final Set<String> retirementsDone = new HashSet<>();
    private final Set<String> retirementsBegun = new HashSet<>();
    private KeeperView previousView = KeeperView.NONE;

    /**
     * @param mayFound whether the whole system starts for the first time, so that the first view
     *     may be founded
     * @param leastKeepers keepers that must stay
     */
    public KeeperCoordinator(
            KeeperIndex index,
            KeeperMembership membership,
            ViewHolder views,
            KeeperClient keepers,
            KeeperRegistry registry,
            boolean mayFound,
            int leastKeepers,
            LongSupplier clockNs) {
        this.membership = membership;
        this.views = views;
        this.keepers = keepers;
        this.registry = registry;
        this.sync = new KeeperSync(index, membership, views, keepers);
        this.mayFound = mayFound;
        this.leastKeepers = leastKeepers;
        this.clockNs = clockNs;
    }

    /** Does one round. */
    public void round() throws InterruptedException {
        KeeperView view = views.current();
        if (view.version() == 0) {
            found();
            return;
        }
        ping(view);
        if (fetches(view)) {
            List<KeeperView.Member> leaving = new ArrayList<>(registry.registered());
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

    /** A keeper fetches after each change of the view, also before it is a member. */
    private boolean fetches(KeeperView view) {
        boolean stays =
                view.contains(membership.self())
                        || !registry.retiring().contains(membership.self().node());
        return stays && membership.syncedVersion() != view.version();
    }

    private void found() {
        if (mayFound && registry.viewKnown() && !registry.registered().isEmpty()) {
            KeeperView first = KeeperView.NONE.with(membership.self());
            if (registry.publish(KeeperView.NONE, first)) {
                LOG.atInfo().addKeyValue("event", "first_view_published").log();
            }
        }
    }

    private void ping(KeeperView view) throws InterruptedException {
        Set<KeeperView.Member> known = new LinkedHashSet<>(view.members());
        known.addAll(registry.registered());
        known.remove(membership.self());
        byte[] body = LedgerCodec.encode(out -> LedgerCodec.writeView(out, view));
        Map<KeeperView.Member, Future<KeeperStatus>> calls = new HashMap<>();
        for (KeeperView.Member member : known) {
            calls.put(
                    member,
                    executor.submit(
                            () ->
                                    keepers.call(
                                            member,
                                            view.version(),
                                            LedgerOperation.PING,
                                            body,
                                            PING_TIMEOUT_MS,
                                            KeeperStatus::read)));
        }
        for (Map.Entry<KeeperView.Member, Future<KeeperStatus>> call : calls.entrySet()) {
            KeeperStatus status;
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
    private boolean coordinates(KeeperView view) {
        if (!membership.voting()) {
            return false;
        }
        for (KeeperView.Member member : view.members()) {
            boolean before = member.node().compareTo(membership.self().node()) < 0;
            if (before && statuses.containsKey(member) && silentMs(member) < 1500) {
                return false;
            }
        }
        return true;
    }

    private void change(KeeperView view) {
        Map<KeeperView.Member, ViewChange.Peer> peers = new HashMap<>();
        statuses.forEach(
                (member, status) ->
                        peers.put(member, new ViewChange.Peer(status, silentMs(member))));
        heardNs.forEach(
                (member, ns) ->
                        peers.putIfAbsent(member, new ViewChange.Peer(null, silentMs(member))));
        peers.put(membership.self(), new ViewChange.Peer(membership.status(), 0));
        Set<String> retiring = registry.retiring();
        KeeperView next =
                ViewChange.next(view, peers, registry.registered(), retiring, leastKeepers);
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
            KeeperView view, Map<KeeperView.Member, ViewChange.Peer> peers, Set<String> retiring) {
        for (String node : retiring) {
            boolean member = view.members().stream().anyMatch(m -> m.node().equals(node));
            boolean done = !member && ViewChange.settled(view, peers);
            Set<String> reported = done ? retirementsDone : retirementsBegun;
            if (!reported.contains(node) && registry.reportRetirement(node, done)) {
                reported.add(node);
            }
        }
    }

    private long silentMs(KeeperView.Member member) {
        if (member.equals(membership.self())) {
            return 0;
        }
        Long heard = heardNs.get(member);
        return heard == null ? NEVER_MS : (clockNs.getAsLong() - heard) / NS_PER_MS;
    }
}
