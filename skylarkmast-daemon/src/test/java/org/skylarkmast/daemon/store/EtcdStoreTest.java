package org.skylarkmast.daemon.store;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.core.store.Condition;
import org.skylarkmast.core.store.LeaseState;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.skylarkmast.core.store.Watch;
import org.skylarkmast.core.store.WatchEvent;
import org.skylarkmast.core.store.Write;
import org.skylarkmast.standins.store.EtcdStandIn;
import org.skylarkmast.standins.store.StoreFaults;

class EtcdStoreTest {
    private static final long CALL_TIMEOUT_MS = 20_000;
    private static final long EVENT_TIMEOUT_S = 60;
    private static final int MAX_WRITES_TO_LIMIT = 10_000;
    private static final long LEASE_MS = 60_000;

    private EtcdStandIn service;
    private EtcdStore store;

    @BeforeEach
    void start() throws IOException {
        service = EtcdStandIn.start(0, 0);
        store = store(CALL_TIMEOUT_MS);
    }

    @AfterEach
    void stop() {
        store.close();
        service.close();
    }

    static Stream<Arguments> conditionsOnAKeyWrittenOnce() {
        return Stream.of(
                Arguments.of(new Condition.KeyPresent("/a"), true),
                Arguments.of(new Condition.KeyAbsent("/a"), false),
                Arguments.of(new Condition.ModRevisionIs("/a", 2), true),
                Arguments.of(new Condition.ModRevisionIs("/a", 3), false),
                Arguments.of(new Condition.KeyAbsent("/b"), true),
                Arguments.of(new Condition.KeyPresent("/b"), false));
    }

    @ParameterizedTest(name = "{0} holds: {1}")
    @MethodSource("conditionsOnAKeyWrittenOnce")
    void writesOnlyWhileTheConditionHolds(Condition condition, boolean holds) {
        done(put("/a", "1"));
        TxnResult result =
                done(
                        store.commit(
                                new Txn(
                                        List.of(condition),
                                        List.of(write("/a", "2")),
                                        List.of("/a", "/none"))));
        assertThat(result.succeeded()).isEqualTo(holds);
        assertThat(values("/a")).containsExactly(holds ? "2" : "1");
        assertThat(result.entries()).hasSize(holds ? 0 : 1);
    }

    @Test
    void readsInKeyOrderAndReportsTruncation() {
        done(store.commit(new Txn(List.of(), List.of(write("/b", "2"), write("/a", "1")))));
        RangeResult truncated = done(store.range("/", "0", 1));
        assertThat(truncated.entries().stream().map(StoreEntry::key)).containsExactly("/a");
        assertThat(truncated.more()).isTrue();
        assertThat(done(store.readPrefix("/")).more()).isFalse();
        assertThat(done(store.readPrefix("/")).revision()).isEqualTo(2);
    }

    @Test
    void removesKeysAndRanges() {
        for (String key : List.of("/a", "/b/1", "/b/2", "/c")) {
            done(put(key, key));
        }
        Txn removal =
                new Txn(
                        List.of(),
                        List.of(new Write.Delete("/a"), new Write.DeleteRange("/b/", "/b0")));
        done(store.commit(removal));
        assertThat(values("/")).containsExactly("/c");
    }

    @Test
    void removesTheKeysOfAnExpiredLeaseAndNotifiesWatches() throws InterruptedException {
        long leaseId = grant();
        done(store.commit(new Txn(List.of(), List.of(new Write.Put("/s", bytes("x"), leaseId)))));
        BlockingQueue<WatchEvent> events = new LinkedBlockingQueue<>();
        try (Watch _ = store.watch("/s", "/t", 3, events::add)) {
            assertThat(done(store.renewLease(leaseId)))
                    .isEqualTo(new LeaseState.Alive(leaseId, LEASE_MS));
            service.setFaults(new StoreFaults(false, 0, 0, false, 0, true, 0, 0));
            assertThat(next(events)).isEqualTo(new WatchEvent.Removed("/s", 3));
        }
        assertThat(done(store.renewLease(leaseId))).isEqualTo(new LeaseState.Expired(leaseId));
        assertThat(done(store.revokeLease(leaseId))).isEqualTo(new LeaseState.Expired(leaseId));
    }

    @Test
    void doesNotApplyAWriteBoundToAMissingLease() {
        Txn write = new Txn(List.of(), List.of(new Write.Put("/s", bytes("x"), 99)));
        assertThat(store.commit(write)).isInstanceOf(StoreOutcome.NotApplied.class);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                Arguments.of("outage", down(), StoreOutcome.Unknown.class, false),
                Arguments.of("lost answer", lostAnswer(), StoreOutcome.Unknown.class, true));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void reportsUnknownForOutageAndLostAnswer(
            String name, StoreFaults faults, Class<?> expected, boolean applied) {
        done(put("/warm", "up"));
        service.setFaults(faults);
        assertThat(put("/a", "1")).isInstanceOf(expected);
        service.setFaults(StoreFaults.NONE);
        assertThat(values("/a")).hasSize(applied ? 1 : 0);
    }

    @Test
    void doesNotApplyWritesAboveTheRateLimit() {
        service.setFaults(new StoreFaults(false, 0, 0, false, 0, false, 1, 0));
        int written = 0;
        StoreOutcome<TxnResult> last = put("/a/0", "0");
        while (last instanceof StoreOutcome.Done && written < MAX_WRITES_TO_LIMIT) {
            written++;
            last = put("/a/" + written, "x");
        }
        assertThat(last).isInstanceOf(StoreOutcome.NotApplied.class);
        assertThat(values("/a/")).hasSize(written);
    }

    @Test
    void reportsAFailedReadAsNotApplied() {
        service.setFaults(down());
        assertThat(store.readPrefix("/")).isInstanceOf(StoreOutcome.NotApplied.class);
    }

    @Test
    void reportsATimedOutWriteAsUnknown() {
        try (EtcdStore shortTimeoutStore = store(300)) {
            done(shortTimeoutStore.readPrefix("/"));
            service.setFaults(new StoreFaults(false, 600_000, 0, false, 0, false, 0, 0));
            Txn txn = new Txn(List.of(), List.of(write("/a", "1")));
            assertThat(shortTimeoutStore.commit(txn)).isInstanceOf(StoreOutcome.Unknown.class);
            assertThat(shortTimeoutStore.readPrefix("/"))
                    .isInstanceOf(StoreOutcome.NotApplied.class);
        }
    }

    @Test
    void reportsAnUnsentWriteAsNotAppliedAndReconnects() throws IOException, InterruptedException {
        int port = service.port();
        service.close();
        assertThat(put("/a", "1")).isInstanceOf(StoreOutcome.NotApplied.class);
        service = EtcdStandIn.start(port, 0);
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(EVENT_TIMEOUT_S);
        StoreOutcome<TxnResult> outcome = put("/a", "1");
        while (!(outcome instanceof StoreOutcome.Done) && System.nanoTime() < deadlineNs) {
            TimeUnit.MILLISECONDS.sleep(50);
            outcome = put("/a", "1");
        }
        assertThat(outcome).isInstanceOf(StoreOutcome.Done.class);
    }

    @Test
    void usesTheFirstReachableEndpoint() {
        List<String> endpoints = List.of("127.0.0.1:1", "127.0.0.1:" + service.port());
        try (EtcdStore several = new EtcdStore(endpoints, CALL_TIMEOUT_MS)) {
            assertThat(several.readPrefix("/")).isInstanceOf(StoreOutcome.Done.class);
        }
    }

    @Test
    void watchReceivesEachChangeOnceWhenItsStreamBreaks() throws InterruptedException {
        done(put("/w/0", "0"));
        BlockingQueue<WatchEvent> events = new LinkedBlockingQueue<>();
        try (Watch _ = store.watch("/w/", "/w0", 2, events::add)) {
            assertThat(key(next(events))).isEqualTo("/w/0");
            service.setFaults(new StoreFaults(false, 0, 0, true, 0, false, 0, 0));
            done(put("/w/1", "1"));
            done(put("/x", "unseen"));
            done(put("/w/2", "2"));
            assertThat(key(next(events))).isEqualTo("/w/1");
            assertThat(key(next(events))).isEqualTo("/w/2");
            done(store.commit(new Txn(List.of(), List.of(new Write.Delete("/w/1")))));
            assertThat(next(events)).isEqualTo(new WatchEvent.Removed("/w/1", 6));
        }
    }

    @Test
    void watchReportsLostWhenChangesWereCompacted() throws InterruptedException {
        BlockingQueue<WatchEvent> events = new LinkedBlockingQueue<>();
        try (Watch _ = store.watch("/w/", "/w0", 2, events::add)) {
            done(put("/w/0", "0"));
            assertThat(key(next(events))).isEqualTo("/w/0");
            service.setFaults(new StoreFaults(false, 0, 0, true, 2, false, 0, 0));
            done(put("/w/1", "1"));
            done(put("/w/2", "2"));
            assertThat(next(events)).isInstanceOf(WatchEvent.Lost.class);
        }
    }

    private static StoreFaults down() {
        return new StoreFaults(true, 0, 0, false, 0, false, 0, 0);
    }

    private static StoreFaults lostAnswer() {
        return new StoreFaults(false, 0, 1, false, 0, false, 0, 0);
    }

    private EtcdStore store(long callTimeoutMs) {
        return new EtcdStore(List.of("127.0.0.1:" + service.port()), callTimeoutMs);
    }

    private long grant() {
        return ((LeaseState.Alive) done(store.grantLease(LEASE_MS))).leaseId();
    }

    private StoreOutcome<TxnResult> put(String key, String value) {
        return store.commit(new Txn(List.of(), List.of(write(key, value))));
    }

    private List<String> values(String prefix) {
        return done(store.readPrefix(prefix)).entries().stream()
                .map(entry -> new String(entry.value(), StandardCharsets.UTF_8))
                .toList();
    }

    private static Write write(String key, String value) {
        return new Write.Put(key, bytes(value), 0);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String key(WatchEvent event) {
        return ((WatchEvent.Written) event).entry().key();
    }

    private static WatchEvent next(BlockingQueue<WatchEvent> events) throws InterruptedException {
        WatchEvent event = events.poll(EVENT_TIMEOUT_S, TimeUnit.SECONDS);
        assertThat(event).isNotNull();
        return event;
    }

    private static <T> T done(StoreOutcome<T> outcome) {
        assertThat(outcome).isInstanceOf(StoreOutcome.Done.class);
        return ((StoreOutcome.Done<T>) outcome).value();
    }
}
