package org.skylarkmast.daemon.ownership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.skylarkmast.core.ownership.SessionRecord;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.StoreKeys;
import org.skylarkmast.daemon.ownership.NodeSession.SessionOutcome;
import org.skylarkmast.daemon.sim.FakeStore;
import org.skylarkmast.daemon.sim.Simulation;

class NodeSessionTest {
    private static final long TTL_MS = 3_000;
    private static final long MARGIN_MS = 300;

    private final Simulation simulation = new Simulation(1);
    private final FakeStore store = new FakeStore(simulation);
    private final List<String> incarnations = new ArrayList<>();
    private final NodeSession session = session(store);

    @Test
    void leaseIsValidUntilTheMarginBeforeItsExpiry() {
        session.open();
        assertThat(session.leaseValidAt(msToNs(TTL_MS - MARGIN_MS - 1))).isTrue();
        assertThat(session.leaseValidAt(msToNs(TTL_MS - MARGIN_MS))).isFalse();
    }

    @Test
    void leaseTimeCountsFromWhenTheRenewalWasSent() {
        session.open();
        simulation.runMs(1_000);
        SlowRenewalStore slowStore = new SlowRenewalStore(store, simulation, 1_500);
        NodeSession slowSession = session(slowStore);
        slowSession.open();
        long openedAtMs = simulation.nowNs() / 1_000_000;
        slowSession.renew();
        long sentAtMs = openedAtMs;
        assertThat(slowSession.leaseValidAt(msToNs(sentAtMs + TTL_MS - MARGIN_MS - 1))).isTrue();
        assertThat(slowSession.leaseValidAt(msToNs(sentAtMs + TTL_MS - MARGIN_MS))).isFalse();
    }

    @ParameterizedTest
    @EnumSource(FakeStore.Fault.class)
    void openedSessionHasItsKeyAfterAFaultInTheFirstTransaction(FakeStore.Fault fault) {
        int[] calls = {0};
        store.setFaults((txn, sim) -> calls[0]++ == 0 ? fault : FakeStore.Fault.NONE);
        SessionOutcome outcome = session.open();
        assertThat(outcome).isEqualTo(new SessionOutcome.Open("i1"));
        assertThat(store.stored(StoreKeys.session("i1"))).hasSize(1);
    }

    @Test
    void expiredSessionIsReplacedByOneWithAnotherIncarnation() {
        session.open();
        simulation.runMs(TTL_MS + 1);
        assertThat(session.renew()).isEqualTo(new SessionOutcome.Gone());
        assertThat(session.incarnation().isPresent()).isFalse();
        assertThat(session.open()).isEqualTo(new SessionOutcome.Open("i2"));
    }

    @Test
    void drainingMarkDoesNotRecreateAnExpiredSession() {
        session.open();
        assertThat(session.markDraining()).isTrue();
        simulation.runMs(TTL_MS + 1);
        assertThat(session.markDraining()).isFalse();
        assertThat(store.stored(StoreKeys.SESSIONS)).isEmpty();
    }

    private NodeSession session(KeyValueStore usedStore) {
        return new NodeSession(
                usedStore,
                simulation::nowNs,
                () -> {
                    incarnations.add("i" + (incarnations.size() + 1));
                    return incarnations.getLast();
                },
                new SessionRecord("n", "d", "h:1", 1, false),
                TTL_MS,
                MARGIN_MS);
    }

    private static long msToNs(long ms) {
        return ms * 1_000_000L;
    }
}
