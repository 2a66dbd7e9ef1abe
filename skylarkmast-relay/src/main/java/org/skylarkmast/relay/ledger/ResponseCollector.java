package org.skylarkmast.relay.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Collects the responses of parallel calls until enough have arrived; thread-safe. */
final class ResponseCollector<T> {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final List<T> responses = new ArrayList<>();
    private int outstanding;

    /**
     * @param calls number of calls that will report their completion
     */
    ResponseCollector(int calls) {
        outstanding = calls;
    }

    /**
     * Records the completion of a call.
     *
     * @param response the response, or null if the call failed
     */
    void onCompleted(T response) {
        lock.lock();
        try {
            outstanding--;
            if (response != null) {
                responses.add(response);
            }
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until {@code required} calls have succeeded, none is outstanding, or the time-out has
     * passed.
     *
     * @return the responses received so far
     */
    List<T> await(int required, long timeoutMs) throws InterruptedException {
        long remainingNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        lock.lock();
        try {
            while (responses.size() < required && outstanding > 0 && remainingNs > 0) {
                remainingNs = changed.awaitNanos(remainingNs);
            }
            return List.copyOf(responses);
        } finally {
            lock.unlock();
        }
    }
}
