package org.skylarkmast.daemon.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.core.membership.MemberView;
import org.skylarkmast.core.membership.MembershipSettings;
import org.skylarkmast.core.membership.MembershipStateMachine;
import org.skylarkmast.core.ownership.SessionRecord;
import org.skylarkmast.core.scheduling.PeerLoad;
import org.skylarkmast.daemon.loop.EventLoop;

/** Tests which loads of peers are reported to the scheduler as sessions start and end. */
class MembershipServiceTest {
    private static final long ROUND_MS = 500;
    private static final List<PeerLoad> LOADS = List.of(new PeerLoad("engine-1", 4, 100, 100));

    private final Map<String, SessionRecord> sessions = new HashMap<>();
    private final Map<String, List<PeerLoad>> reportedLoads = new HashMap<>();
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private Runnable nextRound = () -> {};
    private final MembershipService service =
            new MembershipService(
                    new MembershipStateMachine(
                            MembershipSettings.withRounds(ROUND_MS, 3 * ROUND_MS), new Random(1)),
                    () -> new MembershipService.SessionSource.Sessions("own", Map.copyOf(sessions)),
                    address -> new HeartbeatSender.Outcome.Missed(),
                    new Listener(),
                    new Loop(),
                    tasks::add,
                    () -> 0,
                    ROUND_MS);

    /** Keeps the loads that the scheduler would count: replaced and discarded by incarnation. */
    private final class Listener implements MembershipListener {
        @Override
        public void onViewChanged(MemberView view) {}

        @Override
        public void onPeerLoad(String incarnation, List<PeerLoad> loads) {
            if (loads.isEmpty()) {
                reportedLoads.remove(incarnation);
            } else {
                reportedLoads.put(incarnation, loads);
            }
        }

        @Override
        public void onPeerGone(String incarnation) {
            reportedLoads.remove(incarnation);
        }

        @Override
        public void onHostLeaving(String address, boolean leaving) {}
    }

    private final class Loop implements EventLoop {
        @Override
        public void execute(Runnable task) {
            tasks.add(task);
        }

        @Override
        public void schedule(Runnable task, long delayNs) {
            nextRound = task;
        }
    }

    private void runRound() {
        tasks.add(nextRound);
        runTasks();
    }

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.remove().run();
        }
    }

    private void start(String... incarnations) {
        for (String incarnation : incarnations) {
            sessions.put(incarnation, new SessionRecord(incarnation, "d", "10.0.0.1:1", 1, false));
        }
        service.start();
        runTasks();
    }

    @Test
    void reportsTheLoadsOfLivePeers() {
        start("own", "peer");
        service.onHeartbeatReceived("peer", false, LOADS);
        runTasks();
        assertThat(reportedLoads).containsExactly("peer", LOADS);
    }

    /**
     * A node continues to send heartbeats after its session has expired, with its old incarnation
     * or none. Loads in such heartbeats would never be discarded, so that runners would appear full
     * forever.
     */
    @ParameterizedTest(name = "from \"{0}\"")
    @ValueSource(strings = {"", "expired", "never-seen"})
    void ignoresLoadsOfNodesWithoutASession(String incarnation) {
        start("own", "peer", "expired");
        service.onHeartbeatReceived("expired", false, LOADS);
        runTasks();
        sessions.remove("expired");
        runRound();
        service.onHeartbeatReceived(incarnation, false, LOADS);
        runTasks();
        runRound();
        assertThat(reportedLoads).isEmpty();
    }
}
