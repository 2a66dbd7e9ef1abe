package org.skylarkmast.relay.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SettlementQueueTest {
    private static final long RETENTION_MS = 60_000;
    private static final long WAIT_MS = 20_000;
    private static final int CAPACITY = 100;

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicLong clockNs = new AtomicLong();
    private final ConcurrentLinkedQueue<String> acknowledged = new ConcurrentLinkedQueue<>();
    private final Semaphore failures = new Semaphore(0);
    private final AtomicInteger concurrentSends = new AtomicInteger();
    private final AtomicInteger maxConcurrentSends = new AtomicInteger();
    private volatile boolean reachable;

    private final SettlementQueue queue =
            new SettlementQueue(this::send, executor, clockNs::get, CAPACITY);

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    private boolean send(Settlement settlement) {
        maxConcurrentSends.accumulateAndGet(concurrentSends.incrementAndGet(), Math::max);
        try {
            if (reachable) {
                acknowledged.add(settlement.attempt());
            } else {
                failures.release();
            }
            return reachable;
        } finally {
            concurrentSends.decrementAndGet();
        }
    }

    private static Settlement settlement(String attempt) {
        return new Settlement("program", attempt, 10, RETENTION_MS);
    }

    private void addUnreachable(int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            queue.add(settlement("r" + i));
        }
        failures.acquire(count);
    }

    @Test
    void repeatsEachSettlementUntilItIsAcknowledged() throws Exception {
        addUnreachable(50);
        failures.acquire(2);
        reachable = true;
        assertThat(queue.awaitAcknowledged(WAIT_MS)).isEqualTo(0);
        List<String> all = IntStream.range(0, 50).mapToObj(i -> "r" + i).toList();
        assertThat(acknowledged).containsExactlyElementsIn(all);
    }

    @Test
    void repeatsOneAtATimeWhileNoneIsAcknowledged() throws Exception {
        addUnreachable(50);
        failures.acquire(1);
        maxConcurrentSends.set(0);
        failures.acquire(4);
        assertThat(maxConcurrentSends.get()).isEqualTo(1);
    }

    @Test
    void dropsTheOldestBeyondItsCapacity() throws Exception {
        addUnreachable(CAPACITY + 5);
        assertThat(queue.outstanding()).isEqualTo(CAPACITY);
        reachable = true;
        assertThat(queue.awaitAcknowledged(WAIT_MS)).isEqualTo(0);
        assertThat(acknowledged).doesNotContain("r4");
        assertThat(acknowledged).contains("r5");
    }

    @Test
    void dropsSettlementsAfterTheirRetention() throws Exception {
        addUnreachable(3);
        clockNs.set((RETENTION_MS + 1) * 1_000_000);
        assertThat(queue.awaitAcknowledged(WAIT_MS)).isEqualTo(0);
        assertThat(acknowledged).isEmpty();
    }

    @Test
    void tellsHowManyAreLeftAfterTheWait() throws Exception {
        addUnreachable(3);
        assertThat(queue.awaitAcknowledged(1)).isEqualTo(3);
    }

    @Test
    void countsASettlementAsOutstandingDuringItsFirstSend() throws Exception {
        CountDownLatch mayEnd = new CountDownLatch(1);
        SettlementQueue blocked =
                new SettlementQueue(
                        _ -> {
                            mayEnd.await();
                            return true;
                        },
                        executor,
                        clockNs::get,
                        CAPACITY);
        blocked.add(settlement("r1"));
        assertThat(blocked.outstanding()).isEqualTo(1);
        mayEnd.countDown();
        assertThat(blocked.awaitAcknowledged(WAIT_MS)).isEqualTo(0);
    }
}
