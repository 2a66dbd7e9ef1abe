package org.skylarkmast.standins.store;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.core.store.Condition;
import org.skylarkmast.core.store.LeaseState;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.skylarkmast.core.store.WatchEvent;
import org.skylarkmast.core.store.Write;

class InMemoryStoreTest {
    private static final long LEASE_TTL_MS = 3_000;

    private final ManualClock clock = new ManualClock();
    private final StoreState state = new StoreState(clock);
    private final InMemoryStore store = new InMemoryStore(state, Runnable::run);
    private final List<WatchEvent> events = new ArrayList<>();

    @Test
    void countsRevisionsAndVersionsLikeEtcd() {
        put("/a");
        put("/a");
        assertThat(commit(new Write.Delete("/none")).revision()).isEqualTo(3);
        StoreEntry entry = entries("/a").getFirst();
        assertThat(entry.createRevision()).isEqualTo(2);
        assertThat(entry.modRevision()).isEqualTo(3);
        assertThat(state.get("/a").orElseThrow().version()).isEqualTo(2);
        commit(new Write.Delete("/a"));
        put("/a");
        assertThat(entries("/a").getFirst().createRevision()).isEqualTo(5);
        assertThat(state.get("/a").orElseThrow().version()).isEqualTo(1);
    }

    static Stream<Arguments> rejectedWrites() {
        return Stream.of(
                Arguments.of("put twice", List.of(write("/a"), write("/a"))),
                Arguments.of("put and delete", List.of(write("/a"), new Write.Delete("/a"))),
                Arguments.of(
                        "put and delete range",
                        List.of(new Write.DeleteRange("/", "0"), write("/a"))),
                Arguments.of("unknown lease", List.of(new Write.Put("/a", new byte[0], 7))));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("rejectedWrites")
    void rejectsWritesThatEtcdRejects(String name, List<Write> writes) {
        assertThat(store.commit(new Txn(List.of(), writes)))
                .isInstanceOf(StoreOutcome.NotApplied.class);
        assertThat(state.revision()).isEqualTo(1);
    }

    @Test
    void leaseExpiresOnceItsTimeToLiveHasElapsed() {
        long leaseId = ((LeaseState.Alive) valueOf(store.grantLease(LEASE_TTL_MS - 1))).leaseId();
        commit(new Write.Put("/s", new byte[0], leaseId));
        store.watch("/s", "/t", 3, events::add);
        clock.advanceMs(LEASE_TTL_MS - 1);
        assertThat(valueOf(store.renewLease(leaseId)))
                .isEqualTo(new LeaseState.Alive(leaseId, LEASE_TTL_MS));
        clock.advanceMs(LEASE_TTL_MS - 1);
        assertThat(entries("/s")).hasSize(1);
        clock.advanceMs(1);
        assertThat(entries("/s")).isEmpty();
        assertThat(events).containsExactly(new WatchEvent.Removed("/s", 3));
        assertThat(valueOf(store.renewLease(leaseId))).isEqualTo(new LeaseState.Expired(leaseId));
    }

    @Test
    void keepsKeyRewrittenWithoutLease() {
        long leaseId = ((LeaseState.Alive) valueOf(store.grantLease(LEASE_TTL_MS))).leaseId();
        commit(new Write.Put("/s", new byte[0], leaseId));
        put("/s");
        store.expireLease(leaseId);
        assertThat(entries("/s")).hasSize(1);
    }

    @Test
    void watchReportsChangesFromItsRevision() {
        put("/a");
        put("/b");
        put("/c");
        store.watch("/", "0", 3, events::add);
        put("/d");
        assertThat(events.stream().map(InMemoryStoreTest::key))
                .containsExactly("/b", "/c", "/d")
                .inOrder();
    }

    @Test
    void watchFromCompactedRevisionIsLost() {
        put("/a");
        put("/b");
        state.compact(2);
        store.watch("/", "0", 2, events::add);
        assertThat(events).hasSize(1);
        assertThat(events.getFirst()).isInstanceOf(WatchEvent.Lost.class);
    }

    @Test
    void faultsAffectOneClientOnly() {
        InMemoryStore other = new InMemoryStore(state, Runnable::run);
        store.watch("/", "0", 2, events::add);
        store.setDown(true);
        assertThat(store.commit(new Txn(List.of(), List.of(write("/a")))))
                .isInstanceOf(StoreOutcome.NotApplied.class);
        valueOf(other.commit(new Txn(List.of(), List.of(write("/b")))));
        assertThat(events).isEmpty();
        store.setDown(false);
        assertThat(events.stream().map(InMemoryStoreTest::key)).containsExactly("/b");
    }

    @Test
    void dropsAnswerOfWriteThatTookEffect() {
        store.loseNextAnswers(1);
        assertThat(store.commit(new Txn(List.of(), List.of(write("/a")))))
                .isInstanceOf(StoreOutcome.Unknown.class);
        assertThat(entries("/a")).hasSize(1);
        put("/b");
    }

    @Test
    void droppedWatchIsLostOnce() {
        store.watch("/", "0", 2, events::add);
        store.dropWatches();
        put("/a");
        assertThat(events).containsExactly(new WatchEvent.Lost("watches dropped"));
    }

    @Test
    void returnsRequestedKeysWhenConditionFails() {
        put("/a");
        Txn txn =
                new Txn(
                        List.of(new Condition.KeyAbsent("/a")),
                        List.of(write("/b")),
                        List.of("/a", "/b"));
        TxnResult result = valueOf(store.commit(txn));
        assertThat(result.succeeded()).isFalse();
        assertThat(result.entries().stream().map(StoreEntry::key)).containsExactly("/a");
    }

    private void put(String key) {
        assertThat(commit(write(key)).succeeded()).isTrue();
    }

    private TxnResult commit(Write write) {
        return valueOf(store.commit(new Txn(List.of(), List.of(write))));
    }

    private List<StoreEntry> entries(String prefix) {
        return valueOf(store.readPrefix(prefix)).entries();
    }

    private static Write write(String key) {
        return new Write.Put(key, key.getBytes(StandardCharsets.UTF_8), 0);
    }

    private static String key(WatchEvent event) {
        return ((WatchEvent.Written) event).entry().key();
    }

    private static <T> T valueOf(StoreOutcome<T> outcome) {
        assertThat(outcome).isInstanceOf(StoreOutcome.Done.class);
        return ((StoreOutcome.Done<T>) outcome).value();
    }
}
