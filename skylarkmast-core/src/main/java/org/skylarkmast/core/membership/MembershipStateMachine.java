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
 * State machine that decides which nodes are live, suspected or leaving, and which hosts are
 * leaving.
 *
 * <p>Each round sends heartbeats to a few random peers and to a limited number of those that missed
 * one, so the cost does not grow with the number of nodes. A peer is suspected after several missed
 * heartbeats in a row and live again after the first heartbeat received. After a pause of this
 * process all counts are reset, since heartbeats missed during the pause say nothing about the
 * peers. Not thread-safe: owned by the membership loop.
 */
public final class MembershipStateMachine {
    private static final long NS_PER_MS = 1_000_000L;

    /**
     * Time since the last round, in rounds, beyond which this process counts as having been paused.
     */
    private static final int PAUSE_THRESHOLD_ROUNDS = 3;

    /**
     * Limit of peers with missed heartbeats probed per round, as a multiple of {@link
     * MembershipSettings#probesPerRound}.
     */
    private static final int MISSED_PROBES_FACTOR = 2;

    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final HostStateTracker hostTracker;
    private final Map<String, Peer> peers = new TreeMap<>();

    private String ownIncarnation = "";
    private MemberView view = new MemberView(List.of());
    private boolean started;
    private long lastRoundNs;
    private long missesCountedFromNs;

    /** The known state of one node. */
    private static final class Peer {
        private SessionRecord session;
        private boolean draining;
        private int misses;

        private Peer(SessionRecord session) {
            this.session = session;
        }
    }

    /**
     * Creates a state machine without nodes.
     *
     * @param random source of randomness for the choice of peers; seeded in tests
     */
    public MembershipStateMachine(MembershipSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        hostTracker = new HostStateTracker(settings);
    }

    /** Processes {@code event} and returns the actions to take. */
    public List<MembershipAction> on(MembershipEvent event, long nowNs) {
        List<MembershipAction> actions = new ArrayList<>();
        switch (event) {
            case MembershipEvent.SessionsSeen seen -> sessionsSeen(seen, actions);
            case MembershipEvent.HostsRead read ->
                    actions.addAll(hostTracker.onHostList(read.hosts(), nowNs));
            case MembershipEvent.HeartbeatReceived received -> heartbeatReceived(received);
            case MembershipEvent.HeartbeatMissed missed -> heartbeatMissed(missed);
            case MembershipEvent.RoundDue due -> sendHeartbeats(nowNs, actions);
        }
        MemberView newView = new MemberView(members());
        if (!newView.equals(view)) {
            view = newView;
            actions.add(new ViewChanged(view));
        }
        return actions;
    }

    /** Whether the incarnation had a live session when the sessions were last read. */
    public boolean hasSession(String incarnation) {
        return peers.containsKey(incarnation);
    }

    /** The nodes with their states after the last event. */
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

    private void heartbeatReceived(MembershipEvent.HeartbeatReceived received) {
        Peer peer = peers.get(received.incarnation());
        if (peer != null) {
            peer.misses = 0;
            peer.draining = received.draining();
        }
    }

    private void heartbeatMissed(MembershipEvent.HeartbeatMissed missed) {
        Peer peer = peers.get(missed.incarnation());
        if (peer != null && missed.sentAtNs() - missesCountedFromNs >= 0) {
            peer.misses++;
        }
    }

    private void sendHeartbeats(long nowNs, List<MembershipAction> actions) {
        long pauseThresholdNs = PAUSE_THRESHOLD_ROUNDS * settings.roundMs() * NS_PER_MS;
        if (!started || nowNs - lastRoundNs > pauseThresholdNs) {
            started = true;
            missesCountedFromNs = nowNs;
            peers.values().forEach(peer -> peer.misses = 0);
        }
        lastRoundNs = nowNs;
        List<String> withMisses = new ArrayList<>();
        List<String> withoutMisses = new ArrayList<>();
        peers.forEach(
                (incarnation, peer) -> {
                    if (!incarnation.equals(ownIncarnation)) {
                        (peer.misses > 0 ? withMisses : withoutMisses).add(incarnation);
                    }
                });
        probeRandom(withoutMisses, settings.probesPerRound(), actions);
        probeRandom(withMisses, settings.probesPerRound() * MISSED_PROBES_FACTOR, actions);
    }

    private void probeRandom(List<String> candidates, int count, List<MembershipAction> actions) {
        int probes = Math.min(count, candidates.size());
        for (int index = 0; index < probes; index++) {
            Collections.swap(candidates, index, random.nextInt(index, candidates.size()));
            String incarnation = candidates.get(index);
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
