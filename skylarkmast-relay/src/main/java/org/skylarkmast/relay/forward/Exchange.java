package org.skylarkmast.relay.forward;

import java.util.concurrent.TimeUnit;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.RunnerConnection;

/**
 * The state of one request that other threads may end: its caller may leave and its time may pass.
 *
 * <p>Thread-safe.
 */
final class Exchange {
    private final CallerConnection caller;
    private final long deadlineNs;
    private RunnerConnection runner;
    private boolean callerGone;
    private boolean expired;
    private boolean ended;

    Exchange(CallerConnection caller, long deadlineNs) {
        this.caller = caller;
        this.deadlineNs = deadlineNs;
    }

    long deadlineNs() {
        return deadlineNs;
    }

    long leftMs() {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
    }

    /** The caller closed: whatever is under way for it stops. */
    void callerGone() {
        RunnerConnection stopped;
        synchronized (this) {
            if (ended) {
                return;
            }
            callerGone = true;
            stopped = runner;
            notifyAll();
        }
        if (stopped != null) {
            stopped.abort();
        }
    }

    /** The time is over: the runner is stopped, and a caller that does not read is cut. */
    void expire(boolean cutCaller) {
        RunnerConnection stopped;
        synchronized (this) {
            if (ended) {
                return;
            }
            expired = true;
            stopped = runner;
            notifyAll();
        }
        if (stopped != null) {
            stopped.abort();
        }
        if (cutCaller) {
            caller.abort();
        }
    }

    /** Names the connection that ends with this exchange; false if it is over already. */
    synchronized boolean uses(RunnerConnection connection) {
        runner = connection;
        return !callerGone && !expired;
    }

    /** The connection is no longer this exchange's. */
    synchronized void releases() {
        runner = null;
    }

    /** Nothing that happens from now on concerns this exchange. */
    synchronized void end() {
        ended = true;
        runner = null;
    }

    synchronized boolean isCallerGone() {
        return callerGone;
    }

    synchronized boolean isExpired() {
        return expired || System.nanoTime() - deadlineNs >= 0;
    }

    synchronized boolean isOver() {
        return callerGone || expired || System.nanoTime() - deadlineNs >= 0;
    }

    /** Waits up to {@code ms}, less if the exchange ends. */
    synchronized void pause(long ms) throws InterruptedException {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (!callerGone && !expired) {
            long leftNs = untilNs - System.nanoTime();
            if (leftNs <= 0) {
                return;
            }
            TimeUnit.NANOSECONDS.timedWait(this, leftNs);
        }
    }
}
