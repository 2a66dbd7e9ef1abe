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
 * Executes the actions of the {@link MembershipStateMachine}: sends rounds of heartbeats and
 * notifies the listener of changes.
 *
 * <p>All state is owned by the membership loop; public methods may be called from any thread.
 */
public final class MembershipService {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipService.class);

    private static final long NS_PER_MS = 1_000_000L;

    private final MembershipStateMachine stateMachine;
    private final SessionSource sessions;
    private final HeartbeatSender sender;
    private final MembershipListener listener;
    private final EventLoop loop;
    private final Executor blockingExecutor;
    private final LongSupplier nowNs;
    private final long roundMs;

    private volatile MemberView view = new MemberView(List.of());
    private volatile boolean closed;

    /** Provides the live sessions. */
    @FunctionalInterface
    public interface SessionSource {

        /** The sessions as last read; may be called from any thread. */
        Sessions current();

        /**
         * Live sessions.
         *
         * @param ownIncarnation incarnation of this node; empty while it has no session
         */
        record Sessions(String ownIncarnation, Map<String, SessionRecord> byIncarnation) {}
    }

    /**
     * Creates a service that is not started.
     *
     * @param sender sends heartbeats; called on {@code blockingExecutor}
     * @param loop event loop that owns all state; the listener is called on it
     * @param nowNs monotonic clock
     * @param roundMs interval between rounds of heartbeats
     */
    public MembershipService(
            MembershipStateMachine stateMachine,
            SessionSource sessions,
            HeartbeatSender sender,
            MembershipListener listener,
            EventLoop loop,
            Executor blockingExecutor,
            LongSupplier nowNs,
            long roundMs) {
        this.stateMachine = stateMachine;
        this.sessions = sessions;
        this.sender = sender;
        this.listener = listener;
        this.loop = loop;
        this.blockingExecutor = blockingExecutor;
        this.nowNs = nowNs;
        this.roundMs = roundMs;
    }

    /** Starts the rounds of heartbeats; to be called once. */
    public void start() {
        loop.execute(this::runRound);
    }

    /** Stops the rounds of heartbeats. */
    public void close() {
        closed = true;
    }

    /** Processes a heartbeat that a peer sent. */
    public void onHeartbeatReceived(String incarnation, boolean draining, List<PeerLoad> loads) {
        loop.execute(() -> processHeartbeat(incarnation, draining, loads));
    }

    /** Processes a host list that was read. */
    public void onHostsRead(HostList hosts) {
        loop.execute(() -> process(new MembershipEvent.HostsRead(hosts)));
    }

    /** The most recent view of the nodes. */
    public MemberView view() {
        return view;
    }

    private void runRound() {
        if (closed) {
            return;
        }
        SessionSource.Sessions current = sessions.current();
        process(
                new MembershipEvent.SessionsSeen(
                        current.ownIncarnation(), current.byIncarnation()));
        process(new MembershipEvent.RoundDue());
        loop.schedule(this::runRound, roundMs * NS_PER_MS);
    }

    private void processHeartbeat(String incarnation, boolean draining, List<PeerLoad> loads) {
        process(new MembershipEvent.HeartbeatReceived(incarnation, draining));
        // Loads are discarded only when the session of their peer ends; those of a node without a
        // session would be counted forever.
        if (stateMachine.hasSession(incarnation)) {
            listener.onPeerLoad(incarnation, loads);
        } else if (!loads.isEmpty()) {
            LOG.atDebug()
                    .addKeyValue("event", "peer_loads_ignored")
                    .addKeyValue("incarnation", incarnation)
                    .addKeyValue("runners", loads.size())
                    .log();
        }
    }

    private void process(MembershipEvent event) {
        for (MembershipAction action : stateMachine.on(event, nowNs.getAsLong())) {
            switch (action) {
                case MembershipAction.SendHeartbeat send -> sendHeartbeat(send);
                case MembershipAction.ViewChanged changed -> {
                    view = changed.view();
                    listener.onViewChanged(view);
                }
                case MembershipAction.PeerGone gone -> listener.onPeerGone(gone.incarnation());
                case MembershipAction.HostLeaving host ->
                        listener.onHostLeaving(host.address(), host.leaving());
            }
        }
    }

    private void sendHeartbeat(MembershipAction.SendHeartbeat send) {
        long sentAtNs = nowNs.getAsLong();
        blockingExecutor.execute(
                () -> {
                    HeartbeatSender.Outcome outcome = sender.send(send.peerAddress());
                    loop.execute(() -> onOutcome(send.incarnation(), sentAtNs, outcome));
                });
    }

    private void onOutcome(String incarnation, long sentAtNs, HeartbeatSender.Outcome outcome) {
        switch (outcome) {
            case HeartbeatSender.Outcome.Answered answered -> {
                processHeartbeat(answered.incarnation(), answered.draining(), answered.loads());
                if (!answered.incarnation().equals(incarnation)) {
                    process(new MembershipEvent.HeartbeatMissed(incarnation, sentAtNs));
                }
            }
            case HeartbeatSender.Outcome.Missed missed ->
                    process(new MembershipEvent.HeartbeatMissed(incarnation, sentAtNs));
        }
    }
}
