package org.skylarkmast.daemon.membership;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.skylarkmast.core.membership.HostList;
import org.skylarkmast.core.membership.MemberView;
import org.skylarkmast.core.membership.MembershipAction;
import org.skylarkmast.core.membership.MembershipEvent;
import org.skylarkmast.core.membership.MembershipStateMachine;
import org.skylarkmast.core.ownership.SessionRecord;
import org.skylarkmast.core.scheduling.PeerLoad;
import org.skylarkmast.daemon.loop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out the membership decisions: rounds of heartbeats, and what they show.
 *
 * <p>All state belongs to the membership loop; public methods may be called from any thread.
 */
public final class MembershipService {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipService.class);

    private static final long NS_PER_MS = 1_000_000L;

    private final MembershipStateMachine machine;
    private final SessionSource sessions;
    private final HeartbeatSender sender;
    private final MembershipListener listener;
    private final EventLoop loop;
    private final Executor blocking;
    private final LongSupplier nowNs;
    private final long roundMs;

    private volatile MemberView view = new MemberView(List.of());
    private volatile boolean closed;

    /** Tells the live sessions. */
    @FunctionalInterface
    public interface SessionSource {

        /** The sessions as last seen; may be called from any thread. */
        Sessions now();

        /**
         * Live sessions.
         *
         * @param ownIncarnation this node's, or empty text while it has none
         */
        record Sessions(String ownIncarnation, Map<String, SessionRecord> byIncarnation) {}
    }

    /**
     * Creates a service that is not started.
     *
     * @param sender sends heartbeats; called on {@code blocking}
     * @param loop owns all state; the listener is called on it
     * @param nowNs monotonic clock
     * @param roundMs time between rounds of heartbeats
     */
    public MembershipService(
            MembershipStateMachine machine,
            SessionSource sessions,
            HeartbeatSender sender,
            MembershipListener listener,
            EventLoop loop,
            Executor blocking,
            LongSupplier nowNs,
            long roundMs) {
        this.machine = machine;
        this.sessions = sessions;
        this.sender = sender;
        this.listener = listener;
        this.loop = loop;
        this.blocking = blocking;
        this.nowNs = nowNs;
        this.roundMs = roundMs;
    }

    /** Starts the rounds; call once. */
    public void start() {
        loop.execute(this::round);
    }

    /** Stops the rounds. */
    public void close() {
        closed = true;
    }

    /** A peer sent a heartbeat. */
    public void heartbeatReceived(String incarnation, boolean draining, List<PeerLoad> loads) {
        loop.execute(() -> heard(incarnation, draining, loads));
    }

    /** The host list was read. */
    public void hostsRead(HostList hosts) {
        loop.execute(() -> on(new MembershipEvent.HostsRead(hosts)));
    }

    /** The nodes as last decided. */
    public MemberView view() {
        return view;
    }

    private void round() {
        if (closed) {
            return;
        }
        SessionSource.Sessions seen = sessions.now();
        on(new MembershipEvent.SessionsSeen(seen.ownIncarnation(), seen.byIncarnation()));
        on(new MembershipEvent.RoundDue());
        loop.schedule(this::round, roundMs * NS_PER_MS);
    }

    private void heard(String incarnation, boolean draining, List<PeerLoad> loads) {
        on(new MembershipEvent.HeartbeatReceived(incarnation, draining));
        // Only a peer that is known can be reported gone later, which takes its loads back.
        if (machine.hasSession(incarnation)) {
            listener.peerLoad(incarnation, loads);
        } else if (!loads.isEmpty()) {
            LOG.atDebug()
                    .addKeyValue("event", "peer_loads_ignored")
                    .addKeyValue("incarnation", incarnation)
                    .addKeyValue("runners", loads.size())
                    .log();
        }
    }

    private void on(MembershipEvent event) {
        for (MembershipAction action : machine.on(event, nowNs.getAsLong())) {
            switch (action) {
                case MembershipAction.SendHeartbeat send -> send(send);
                case MembershipAction.ViewChanged changed -> {
                    view = changed.view();
                    listener.viewChanged(view);
                }
                case MembershipAction.PeerGone gone -> listener.peerGone(gone.incarnation());
                case MembershipAction.HostLeaving host ->
                        listener.hostLeaving(host.address(), host.leaving());
            }
        }
    }

    private void send(MembershipAction.SendHeartbeat send) {
        long sentAtNs = nowNs.getAsLong();
        blocking.execute(
                () -> {
                    HeartbeatSender.Reply reply = sender.send(send.peerAddress());
                    loop.execute(() -> replied(send.incarnation(), sentAtNs, reply));
                });
    }

    private void replied(String incarnation, long sentAtNs, HeartbeatSender.Reply reply) {
        switch (reply) {
            case HeartbeatSender.Reply.Answered answered -> {
                heard(answered.incarnation(), answered.draining(), answered.loads());
                if (!answered.incarnation().equals(incarnation)) {
                    on(new MembershipEvent.HeartbeatMissed(incarnation, sentAtNs));
                }
            }
            case HeartbeatSender.Reply.Missed missed ->
                    on(new MembershipEvent.HeartbeatMissed(incarnation, sentAtNs));
        }
    }
}
