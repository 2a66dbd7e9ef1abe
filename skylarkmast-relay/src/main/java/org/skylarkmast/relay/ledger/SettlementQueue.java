package org.skylarkmast.relay.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends settlements, and repeats them until they are acknowledged or their retention has passed;
 * thread-safe.
 *
 * <p>Each settlement is sent at once. Those that fail are repeated by a single task: one at a time
 * while none is acknowledged, then in batches of growing size, so that storage nodes that come back
 * are not flooded.
 */
final class SettlementQueue {
    private static final Logger LOG = LoggerFactory.getLogger(SettlementQueue.class);

    private static final long RETRY_DELAY_MS = 100;
    private static final int MAX_BATCH = 16;

    private final Sender sender;
    private final ExecutorService executor;
    private final LongSupplier clockNs;
    private final int capacity;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();

    /** All settlements without an acknowledgement by attempt, oldest first. */
    private final Map<String, Outstanding> outstanding = new LinkedHashMap<>();

    /** Attempts whose settlement is due for another send; may contain dropped ones. */
    private final Deque<String> failed = new ArrayDeque<>();

    private boolean repeating;

    private record Outstanding(Settlement settlement, long expiresNs) {}

    /** Sends a settlement to the storage nodes. */
    @FunctionalInterface
    interface Sender {

        /** Returns whether a quorum has acknowledged {@code settlement}. */
        boolean send(Settlement settlement) throws InterruptedException;
    }

    /**
     * @param executor runs the sends
     * @param capacity number of settlements above which the oldest is dropped
     */
    SettlementQueue(Sender sender, ExecutorService executor, LongSupplier clockNs, int capacity) {
        this.sender = sender;
        this.executor = executor;
        this.clockNs = clockNs;
        this.capacity = capacity;
    }

    /** Sends {@code settlement} in the background. */
    void add(Settlement settlement) {
        long expiresNs =
                clockNs.getAsLong() + TimeUnit.MILLISECONDS.toNanos(settlement.retentionMs());
        lock.lock();
        try {
            outstanding.put(settlement.attempt(), new Outstanding(settlement, expiresNs));
            if (outstanding.size() > capacity) {
                drop(outstanding.values().iterator().next(), "too many outstanding");
            }
        } finally {
            lock.unlock();
        }
        executor.execute(
                () -> {
                    try {
                        send(settlement);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    /** The number of settlements that have not been acknowledged. */
    int outstanding() {
        lock.lock();
        try {
            return outstanding.size();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until all settlements are acknowledged or dropped, or the time-out has passed.
     *
     * @return the number of settlements that are left
     */
    int awaitAcknowledged(long timeoutMs) throws InterruptedException {
        long remainingNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        lock.lock();
        try {
            while (!outstanding.isEmpty() && remainingNs > 0) {
                remainingNs = changed.awaitNanos(remainingNs);
            }
            return outstanding.size();
        } finally {
            lock.unlock();
        }
    }

    private boolean send(Settlement settlement) throws InterruptedException {
        boolean acknowledged = false;
        try {
            acknowledged = sender.send(settlement);
        } catch (RuntimeException e) {
            LOG.atError()
                    .addKeyValue("event", "settlement_failed")
                    .addKeyValue("request", settlement.attempt())
                    .setCause(e)
                    .log();
        }
        boolean startRepeating = false;
        lock.lock();
        try {
            if (acknowledged) {
                outstanding.remove(settlement.attempt());
                changed.signalAll();
            } else if (outstanding.containsKey(settlement.attempt())) {
                failed.add(settlement.attempt());
                startRepeating = !repeating;
                repeating = true;
            }
        } finally {
            lock.unlock();
        }
        if (startRepeating) {
            executor.execute(this::repeat);
        }
        return acknowledged;
    }

    private void repeat() {
        try {
            int batchSize = 1;
            Thread.sleep(RETRY_DELAY_MS);
            for (List<Settlement> batch = nextBatch(batchSize);
                    !batch.isEmpty();
                    batch = nextBatch(batchSize)) {
                if (sendAll(batch)) {
                    batchSize = Math.min(batchSize * 2, MAX_BATCH);
                } else {
                    batchSize = 1;
                    Thread.sleep(RETRY_DELAY_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean sendAll(List<Settlement> batch) throws InterruptedException {
        List<Future<Boolean>> sends = new ArrayList<>();
        for (Settlement settlement : batch) {
            sends.add(executor.submit(() -> send(settlement)));
        }
        boolean allAcknowledged = true;
        for (Future<Boolean> send : sends) {
            try {
                allAcknowledged &= send.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException("sending a settlement failed", e.getCause());
            }
        }
        return allAcknowledged;
    }

    /** Takes the next settlements to repeat; ends the repetition if there are none. */
    private List<Settlement> nextBatch(int size) {
        List<Settlement> batch = new ArrayList<>();
        lock.lock();
        try {
            while (batch.size() < size && !failed.isEmpty()) {
                Outstanding next = outstanding.get(failed.remove());
                if (next == null) {
                    continue;
                }
                if (clockNs.getAsLong() - next.expiresNs() >= 0) {
                    drop(next, "retention has passed");
                } else {
                    batch.add(next.settlement());
                }
            }
            repeating = !batch.isEmpty();
        } finally {
            lock.unlock();
        }
        return batch;
    }

    private void drop(Outstanding dropped, String reason) {
        Settlement settlement = dropped.settlement();
        outstanding.remove(settlement.attempt());
        changed.signalAll();
        LOG.atWarn()
                .addKeyValue("event", "settlement_lost")
                .addKeyValue("program", settlement.program())
                .addKeyValue("request", settlement.attempt())
                .addKeyValue("tokens", settlement.tokens())
                .addKeyValue("reason", reason)
                .log();
    }
}
