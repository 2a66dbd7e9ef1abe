package org.skylarkmast.relay.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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
    private final Set<String> sentOnce = ConcurrentHashMap.newKeySet();
    private final Semaphore firstSends = new Semaphore(0);
    private final Semaphore repeats = new Semaphore(0);
    private final AtomicInteger concurrentRepeats = new AtomicInteger();
    private final AtomicInteger maxConcurrentRepeats = new AtomicInteger();
    private volatile boolean reachable;

    private final SettlementQueue queue =
            new SettlementQueue(this::send, executor, clockNs::get, CAPACITY);

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    private boolean send(Settlement settlement) {
        boolean acknowledges = reachable;
        if (acknowledges) {
            acknowledged.add(settlement.attempt());
        }
        if (sentOnce.add(settlement.attempt())) {
            firstSends.release();
        } else {
            maxConcurrentRepeats.accumulateAndGet(concurrentRepeats.incrementAndGet(), Math::max);
            Thread.onSpinWait();
            concurrentRepeats.decrementAndGet();
            repeats.release();
        }
        return acknowledges;
    }

    private static Settlement settlement(String attempt) {
        return new Settlement("program", attempt, 10, RETENTION_MS);
    }

    private void addUnreachable(int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            queue.add(settlement("r" + i));
        }
        firstSends.acquire(count);
    }

    @Test
    void repeatsEachSettlementUntilItIsAcknowledged() throws Exception {
        addUnreachable(50);
        repeats.acquire(2);
        reachable = true;
        assertThat(queue.awaitAcknowledged(WAIT_MS)).isEqualTo(0);
        List<String> all = IntStream.range(0, 50).mapToObj(i -> "r" + i).toList();
        assertThat(acknowledged).containsExactlyElementsIn(all);
    }

    @Test
    void repeatsOneAtATimeWhileNoneIsAcknowledged() throws Exception {
        addUnreachable(50);
        repeats.acquire(5);
        assertThat(maxConcurrentRepeats.get()).isEqualTo(1);
    }

    @Test
    void dropsTheOldestBeyondItsCapacity() throws Exception {
        addUnreachable(CAPACITY + 5);
        assertThat(queue.outstanding()).isEqualTo(CAPACITY);
        // Lets a repetition end that began before the last one was added.
        repeats.drainPermits();
        repeats.acquire(2);
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
    void repeatsSettlementsWhoseSendsThrow() throws Exception {
        AtomicInteger sends = new AtomicInteger();
        SettlementQueue throwing =
                new SettlementQueue(
                        _ -> {
                            if (sends.incrementAndGet() <= 2) {
                                throw new IllegalStateException("send failed");
                            }
                            return true;
                        },
                        executor,
                        clockNs::get,
                        CAPACITY);
        throwing.add(settlement("r1"));
        assertThat(throwing.awaitAcknowledged(WAIT_MS)).isEqualTo(0);
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
