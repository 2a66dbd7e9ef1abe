package org.skylarkmast.relay.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Collects the answers of several storage nodes until enough came; thread-safe. */
final class Gathering<T> {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final List<T> answers = new ArrayList<>();
    private int outstanding;

    /**
     * @param calls calls under way
     */
    Gathering(int calls) {
        outstanding = calls;
    }

    /**
     * Takes the end of a call.
     *
     * @param answer null if it failed
     */
    void ended(T answer) {
        lock.lock();
        try {
            outstanding--;
            if (answer != null) {
                answers.add(answer);
            }
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until {@code enough} answers came or none is outstanding.
     *
     * @return the answers so far
     */
    List<T> await(int enough, long timeoutMs) throws InterruptedException {
        long leftNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        lock.lock();
        try {
            while (answers.size() < enough && outstanding > 0 && leftNs > 0) {
                leftNs = changed.awaitNanos(leftNs);
            }
            return List.copyOf(answers);
        } finally {
            lock.unlock();
        }
    }
}
