package org.skylarkmast.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.skylarkmast.core.membership.MembershipAction.HostLeaving;
import org.skylarkmast.core.membership.MembershipAction.SendHeartbeat;
import org.skylarkmast.core.ownership.SessionRecord;

class MembershipStateMachineTest {
    private static final long SECOND_NS = 1_000_000_000L;
    private static final MembershipSettings SETTINGS = MembershipSettings.withRounds(1_000, 3_000);

    private final MembershipStateMachine machine =
            new MembershipStateMachine(SETTINGS, new Random(3));

    private long nowNs = 5 * SECOND_NS;

    @Test
    void peerIsSuspectedAfterConsecutiveMissesAndLiveAfterOneHeartbeat() {
        setSessions(2);
        sendRound();
        missHeartbeat("n1");
        missHeartbeat("n1");
        assertThat(state("n1")).isEqualTo(MemberView.State.LIVE);
        missHeartbeat("n1");
        assertThat(state("n1")).isEqualTo(MemberView.State.SUSPECTED);
        machine.on(new MembershipEvent.HeartbeatReceived("n1", false), nowNs);
        assertThat(state("n1")).isEqualTo(MemberView.State.LIVE);
    }

    @Test
    void heartbeatsMissedDuringAPauseOfThisNodeAreNotCounted() {
        setSessions(2);
        sendRound();
        missHeartbeat("n1");
        missHeartbeat("n1");
        long sentBeforePauseNs = nowNs;
        nowNs += 60 * SECOND_NS;
        sendRound();
        machine.on(new MembershipEvent.HeartbeatMissed("n1", sentBeforePauseNs), nowNs);
        assertThat(state("n1")).isEqualTo(MemberView.State.LIVE);
        missHeartbeat("n1");
        missHeartbeat("n1");
        assertThat(state("n1")).isEqualTo(MemberView.State.LIVE);
        missHeartbeat("n1");
        assertThat(state("n1")).isEqualTo(MemberView.State.SUSPECTED);
    }

    @ParameterizedTest
    @CsvSource({"2, 1", "7, 3", "880, 3"})
    void heartbeatsPerRoundDoNotGrowWithTheNumberOfNodes(int nodes, int expected) {
        setSessions(nodes);
        assertThat(sendRound()).isEqualTo(expected);
        for (int node = 1; node < nodes; node++) {
            missHeartbeat("n" + node);
        }
        assertThat(sendRound()).isAtMost(3 * SETTINGS.probesPerRound());
    }

    @Test
    void drainingPeerIsLeaving() {
        setSessions(2);
        machine.on(new MembershipEvent.HeartbeatReceived("n1", true), nowNs);
        assertThat(state("n1")).isEqualTo(MemberView.State.LEAVING);
    }

    /**
     * Parameter {@code lists}: L is a list that shows the host as leaving, V as live, M without the
     * host, each followed by the revision of the list; + advances the clock by that many seconds.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "flap within one second,             L1 V2 L3 V4 L5 V6,          leaving",
        "live in one newer list only,        L1 V2,                      leaving",
        "live in three newer lists at once,  L1 V2 V3 V4,                leaving",
        "live in three newer lists for long, L1 V2 +3 V3 +3 V4,          live",
        "older lists do not count,           L5 V1 +3 V2 +3 V3 V4,       leaving",
        "missing host breaks the sequence,   L1 V2 V3 +6 M4 V5 V6,       leaving",
        "unchanged list for long,            L1 V2 +31 V2,               live",
        "missing host stays leaving,         L1 M2 +60 M3,               leaving",
        "never leaving,                      V1 V2 M3 V4,                live"
    })
    void leavingHostIsLiveAgainOnlyAfterConsecutiveLiveLists(
            String name, String lists, String expected) {
        List<MembershipAction> actions = new ArrayList<>();
        for (String token : lists.split(" ", -1)) {
            long number = Long.parseLong(token.substring(1));
            switch (token.charAt(0)) {
                case '+' -> nowNs += number * SECOND_NS;
                case 'L' -> actions.addAll(readHostList(number, host(true)));
                case 'V' -> actions.addAll(readHostList(number, host(false)));
                default -> actions.addAll(readHostList(number, List.of()));
            }
        }
        boolean leaving = false;
        for (MembershipAction action : actions) {
            leaving = ((HostLeaving) action).leaving();
        }
        assertThat(leaving ? "leaving" : "live").isEqualTo(expected);
    }

    private static List<HostList.Host> host(boolean leaving) {
        return List.of(new HostList.Host("10.0.0.1:7000", leaving));
    }

    private List<MembershipAction> readHostList(long revision, List<HostList.Host> hosts) {
        return machine.on(new MembershipEvent.HostsRead(new HostList(revision, hosts)), nowNs);
    }

    private void setSessions(int nodes) {
        Map<String, SessionRecord> sessions = new HashMap<>();
        for (int node = 0; node < nodes; node++) {
            sessions.put("n" + node, new SessionRecord("n" + node, "d", "h:" + node, 1, false));
        }
        machine.on(new MembershipEvent.SessionsSeen("n0", sessions), nowNs);
    }

    private long sendRound() {
        nowNs += SECOND_NS;
        return machine.on(new MembershipEvent.RoundDue(), nowNs).stream()
                .filter(action -> action instanceof SendHeartbeat)
                .count();
    }

    private void missHeartbeat(String incarnation) {
        machine.on(new MembershipEvent.HeartbeatMissed(incarnation, nowNs), nowNs);
    }

    private MemberView.State state(String incarnation) {
        return machine.view().members().stream()
                .filter(member -> member.incarnation().equals(incarnation))
                .findFirst()
                .orElseThrow()
                .state();
    }
}
