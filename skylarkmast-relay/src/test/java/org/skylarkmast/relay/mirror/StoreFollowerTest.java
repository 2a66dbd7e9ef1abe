package org.skylarkmast.relay.mirror;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.LeaseState;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.skylarkmast.core.store.Watch;
import org.skylarkmast.core.store.WatchEvent;

/** Tests that following goes on after a failure. */
class StoreFollowerTest {
    private static final long WAIT_NS = TimeUnit.SECONDS.toNanos(10);

    /** A call that fails once. */
    enum FailingCall {
        STORE_READ,
        STORE_WATCH,
        RANGE_READ,
        WRITTEN,
        REMOVED,
        TICK
    }

    /** A store in which a key is written and removed during each watch. */
    private static class WatchedStore implements KeyValueStore {
        final CountDownLatch watched = new CountDownLatch(1);
        final AtomicInteger reads = new AtomicInteger();
        private final Failure failure;

        WatchedStore(Failure failure) {
            this.failure = failure;
        }

        @Override
        public StoreOutcome<RangeResult> range(String fromKey, String toKey, int limit) {
            reads.incrementAndGet();
            failure.throwIfDue(FailingCall.STORE_READ);
            return new StoreOutcome.Done<>(new RangeResult(List.of(), 1, false));
        }

        @Override
        public Watch watch(
                String fromKey, String toKey, long fromRevision, Consumer<WatchEvent> listener) {
            failure.throwIfDue(FailingCall.STORE_WATCH);
            watched.countDown();
            listener.accept(
                    new WatchEvent.Written(new StoreEntry("k", new byte[0], 1, reads.get(), 0)));
            listener.accept(new WatchEvent.Removed("k", reads.get()));
            return () -> {};
        }

        @Override
        public StoreOutcome<TxnResult> commit(Txn txn) {
            throw new UnsupportedOperationException();
        }

        @Override
        public StoreOutcome<LeaseState> grantLease(long ttlMs) {
            throw new UnsupportedOperationException();
        }

        @Override
        public StoreOutcome<LeaseState> renewLease(long leaseId) {
            throw new UnsupportedOperationException();
        }

        @Override
        public StoreOutcome<LeaseState> revokeLease(long leaseId) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void close() {}
    }

    /** Makes one call fail, the first time it is made. */
    private static final class Failure {
        private FailingCall due;

        Failure(FailingCall due) {
            this.due = due;
        }

        synchronized void throwIfDue(FailingCall call) {
            if (call == due) {
                due = null;
                throw new IllegalStateException("failure under test");
            }
        }
    }

    /** A listener that records what it was told. */
    private record RecordingListener(
            Failure failure, Queue<Long> written, Queue<Long> removed, Queue<Boolean> reads)
            implements StoreFollower.Listener {

        RecordingListener(Failure failure) {
            this(
                    failure,
                    new ConcurrentLinkedQueue<>(),
                    new ConcurrentLinkedQueue<>(),
                    new ConcurrentLinkedQueue<>());
        }

        @Override
        public void rangeRead(RangeResult range, boolean afterOutage) {
            failure.throwIfDue(FailingCall.RANGE_READ);
            reads.add(afterOutage);
        }

        @Override
        public void written(StoreEntry entry) {
            failure.throwIfDue(FailingCall.WRITTEN);
            written.add(entry.modRevision());
        }

        @Override
        public void removed(String key, long revision) {
            failure.throwIfDue(FailingCall.REMOVED);
            removed.add(revision);
        }

        @Override
        public void tick() {
            failure.throwIfDue(FailingCall.TICK);
        }
    }

    @ParameterizedTest
    @EnumSource(FailingCall.class)
    void failureDoesNotEndFollowing(FailingCall call) {
        Failure failure = new Failure(call);
        WatchedStore store = new WatchedStore(failure);
        RecordingListener listener = new RecordingListener(failure);
        try (StoreFollower follower = new StoreFollower(store, "", "z", listener)) {
            long startedNs = System.nanoTime();
            while (!(listener.removed().contains(2L) && follower.connected())
                    && System.nanoTime() - startedNs < WAIT_NS) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
            }
            assertThat(listener.written()).contains(2L);
            assertThat(listener.removed()).contains(2L);
            assertThat(follower.connected()).isTrue();
            assertThat(store.reads.get()).isEqualTo(2);
        }
    }

    @ParameterizedTest(name = "reads fail for {0} ms, after {1} ms each")
    @CsvSource({"0, 0, false", "300, 0, false", "2500, 0, true", "100, 1500, true"})
    void onlyAnOutageInWhichKeysMayExpireIsReported(long outageMs, long readMs, boolean reported) {
        Failure failure = new Failure(null);
        long startedNs = System.nanoTime();
        WatchedStore store =
                new WatchedStore(failure) {
                    @Override
                    public StoreOutcome<RangeResult> range(
                            String fromKey, String toKey, int limit) {
                        boolean down = System.nanoTime() - startedNs < outageMs * 1_000_000;
                        if (!down) {
                            return super.range(fromKey, toKey, limit);
                        }
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(readMs));
                        return new StoreOutcome.NotApplied<>("down");
                    }
                };
        RecordingListener listener = new RecordingListener(failure);
        try (StoreFollower _ = new StoreFollower(store, "", "z", listener)) {
            while (listener.reads().isEmpty() && System.nanoTime() - startedNs < WAIT_NS) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
            }
            assertThat(listener.reads()).containsExactly(reported);
        }
    }

    @Test
    void isNotConnectedBeforeItsListenerHasTheContent() throws InterruptedException {
        WatchedStore store = new WatchedStore(new Failure(null));
        CountDownLatch reading = new CountDownLatch(1);
        CountDownLatch mayGoOn = new CountDownLatch(1);
        StoreFollower.Listener slowListener =
                new StoreFollower.Listener() {
                    @Override
                    public void rangeRead(RangeResult range, boolean afterOutage) {
                        reading.countDown();
                        try {
                            mayGoOn.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    }

                    @Override
                    public void written(StoreEntry entry) {}

                    @Override
                    public void removed(String key, long revision) {}

                    @Override
                    public void tick() {}
                };
        try (StoreFollower follower = new StoreFollower(store, "", "z", slowListener)) {
            assertThat(reading.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(follower.connected()).isFalse();
            mayGoOn.countDown();
            assertThat(store.watched.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(follower.connected()).isTrue();
        }
    }
}
