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

/** Which peers' loads the scheduler is told, over sessions that come and go. */
class MembershipServiceTest {
    private static final long ROUND_MS = 500;
    private static final List<PeerLoad> LOADS = List.of(new PeerLoad("engine-1", 4, 100, 100));

    private final Map<String, SessionRecord> sessions = new HashMap<>();
    private final Map<String, List<PeerLoad>> told = new HashMap<>();
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private Runnable nextRound = () -> {};
    private final MembershipService service =
            new MembershipService(
                    new MembershipStateMachine(
                            MembershipSettings.withRounds(ROUND_MS, 3 * ROUND_MS), new Random(1)),
                    () -> new MembershipService.SessionSource.Sessions("own", Map.copyOf(sessions)),
                    address -> new HeartbeatSender.Reply.Missed(),
                    new Listener(),
                    new Loop(),
                    tasks::add,
                    () -> 0,
                    ROUND_MS);

    /** What the scheduler would count, as it replaces and forgets by incarnation. */
    private final class Listener implements MembershipListener {
        @Override
        public void viewChanged(MemberView view) {}

        @Override
        public void peerLoad(String incarnation, List<PeerLoad> loads) {
            if (loads.isEmpty()) {
                told.remove(incarnation);
            } else {
                told.put(incarnation, loads);
            }
        }

        @Override
        public void peerGone(String incarnation) {
            told.remove(incarnation);
        }

        @Override
        public void hostLeaving(String address, boolean leaving) {}
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

    private void round() {
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
    void tellsTheLoadsOfLivePeers() {
        start("own", "peer");
        service.heartbeatReceived("peer", false, LOADS);
        runTasks();
        assertThat(told).containsExactly("peer", LOADS);
    }

    /**
     * A node goes on to send heartbeats after its session has lapsed, with its old incarnation or
     * none. Nothing would ever take such loads back, and runners would look full for good.
     */
    @ParameterizedTest(name = "from \"{0}\"")
    @ValueSource(strings = {"", "lapsed", "never-seen"})
    void ignoresLoadsOfWhoHasNoSession(String incarnation) {
        start("own", "peer", "lapsed");
        service.heartbeatReceived("lapsed", false, LOADS);
        runTasks();
        sessions.remove("lapsed");
        round();
        service.heartbeatReceived(incarnation, false, LOADS);
        runTasks();
        round();
        assertThat(told).isEmpty();
    }
}
