package org.skylarkmast.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.skylarkmast.core.membership.MembershipAction.PeerGone;
import org.skylarkmast.core.membership.MembershipAction.SendHeartbeat;
import org.skylarkmast.core.membership.MembershipAction.ViewChanged;
import org.skylarkmast.core.ownership.SessionRecord;

/**
 * Decides which nodes are live, suspected or leaving, and which hosts are leaving.
 *
 * <p>Each round sends heartbeats to a few random peers and to those that missed one, so the cost
 * does not grow with the number of nodes. A peer is suspected after several misses in a row and
 * live again with the first sign of life. After a pause of this node itself all counts start anew.
 * Not thread-safe: owned by the membership loop.
 */
public final class MembershipMachine {
    private static final long NS_PER_MS = 1_000_000L;

    /** Rounds without a round that show that this node itself stood still. */
    private static final int PAUSED_ROUNDS = 3;

    /** Doubtful peers probed in a round beside the random ones, for each of the latter. */
    private static final int DOUBTFUL_FACTOR = 2;

    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final HostStates hosts;
    private final Map<String, Peer> peers = new TreeMap<>();

    private String ownIncarnation = "";
    private MemberView view = new MemberView(List.of());
    private boolean started;
    private long lastRoundNs;
    private long countedFromNs;

    /** What is known of one node. */
    private static final class Peer {
        private SessionRecord session;
        private boolean draining;
        private int misses;

        private Peer(SessionRecord session) {
            this.session = session;
        }
    }

    /**
     * Creates a machine that knows no node.
     *
     * @param random chooses peers; seeded in tests
     */
    public MembershipMachine(MembershipSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        hosts = new HostStates(settings);
    }

    /** Decides on {@code event}. */
    public List<MembershipAction> on(MembershipEvent event, long nowNs) {
        List<MembershipAction> actions = new ArrayList<>();
        switch (event) {
            case MembershipEvent.SessionsSeen seen -> sessionsSeen(seen, actions);
            case MembershipEvent.HostsRead read -> actions.addAll(hosts.read(read.hosts(), nowNs));
            case MembershipEvent.PeerHeard heard -> heard(heard);
            case MembershipEvent.HeartbeatMissed missed -> missed(missed);
            case MembershipEvent.RoundDue due -> round(nowNs, actions);
        }
        MemberView newView = new MemberView(members());
        if (!newView.equals(view)) {
            view = newView;
            actions.add(new ViewChanged(view));
        }
        return actions;
    }

    /** Whether the incarnation has a live session, as last seen. */
    public boolean knows(String incarnation) {
        return peers.containsKey(incarnation);
    }

    /** The nodes as last decided. */
    public MemberView view() {
        return view;
    }

    private void sessionsSeen(MembershipEvent.SessionsSeen seen, List<MembershipAction> actions) {
        ownIncarnation = seen.ownIncarnation();
        List<String> gone = new ArrayList<>(peers.keySet());
        gone.removeAll(seen.sessions().keySet());
        for (String incarnation : gone) {
            peers.remove(incarnation);
            actions.add(new PeerGone(incarnation));
        }
        seen.sessions()
                .forEach(
                        (incarnation, session) ->
                                peers.computeIfAbsent(incarnation, key -> new Peer(session))
                                                .session =
                                        session);
    }

    private void heard(MembershipEvent.PeerHeard heard) {
        Peer peer = peers.get(heard.incarnation());
        if (peer != null) {
            peer.misses = 0;
            peer.draining = heard.draining();
        }
    }

    private void missed(MembershipEvent.HeartbeatMissed missed) {
        Peer peer = peers.get(missed.incarnation());
        if (peer != null && missed.sentAtNs() - countedFromNs >= 0) {
            peer.misses++;
        }
    }

    private void round(long nowNs, List<MembershipAction> actions) {
        long pausedNs = PAUSED_ROUNDS * settings.roundMs() * NS_PER_MS;
        if (!started || nowNs - lastRoundNs > pausedNs) {
            started = true;
            countedFromNs = nowNs;
            peers.values().forEach(peer -> peer.misses = 0);
        }
        lastRoundNs = nowNs;
        List<String> doubtful = new ArrayList<>();
        List<String> others = new ArrayList<>();
        peers.forEach(
                (incarnation, peer) -> {
                    if (!incarnation.equals(ownIncarnation)) {
                        (peer.misses > 0 ? doubtful : others).add(incarnation);
                    }
                });
        choose(others, settings.probesPerRound(), actions);
        choose(doubtful, settings.probesPerRound() * DOUBTFUL_FACTOR, actions);
    }

    private void choose(List<String> from, int count, List<MembershipAction> actions) {
        int chosen = Math.min(count, from.size());
        for (int index = 0; index < chosen; index++) {
            Collections.swap(from, index, random.nextInt(index, from.size()));
            String incarnation = from.get(index);
            actions.add(
                    new SendHeartbeat(incarnation, peers.get(incarnation).session.peerAddress()));
        }
    }

    private List<MemberView.Member> members() {
        List<MemberView.Member> members = new ArrayList<>();
        peers.forEach(
                (incarnation, peer) ->
                        members.add(
                                new MemberView.Member(
                                        incarnation,
                                        peer.session.node(),
                                        peer.session.failureDomain(),
                                        peer.session.peerAddress(),
                                        peer.session.weight(),
                                        state(incarnation, peer))));
        return members;
    }

    private MemberView.State state(String incarnation, Peer peer) {
        boolean own = incarnation.equals(ownIncarnation);
        if (!own && peer.misses >= settings.missesToSuspect()) {
            return MemberView.State.SUSPECTED;
        }
        return peer.session.draining() || peer.draining
                ? MemberView.State.LEAVING
                : MemberView.State.LIVE;
    }
}
