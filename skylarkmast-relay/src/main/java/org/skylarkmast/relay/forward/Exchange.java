package org.skylarkmast.relay.forward;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.RunnerConnection;

/**
 * The state of one request that other threads may cancel: when its caller disconnects, and when its
 * deadline passes.
 *
 * <p>Thread-safe.
 */
final class Exchange {
    private final CallerConnection caller;
    private final long deadlineNs;
    private final Set<RunnerConnection> usedConnections = new HashSet<>();
    private RunnerConnection runnerConnection;
    private boolean callerDisconnected;
    private boolean expired;
    private boolean ended;

    Exchange(CallerConnection caller, long deadlineNs) {
        this.caller = caller;
        this.deadlineNs = deadlineNs;
    }

    long deadlineNs() {
        return deadlineNs;
    }

    long remainingMs() {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
    }

    /** Cancels the request because its caller disconnected; aborts the runner connection. */
    void callerDisconnected() {
        RunnerConnection activeConnection;
        synchronized (this) {
            if (ended) {
                return;
            }
            callerDisconnected = true;
            activeConnection = runnerConnection;
            notifyAll();
        }
        if (activeConnection != null) {
            activeConnection.abort();
        }
    }

    /**
     * Cancels the request because its deadline passed; aborts the runner connection.
     *
     * @param abortCaller whether to abort the caller's connection too, because it did not read the
     *     answer in time
     */
    void expire(boolean abortCaller) {
        RunnerConnection activeConnection;
        synchronized (this) {
            if (ended) {
                return;
            }
            expired = true;
            activeConnection = runnerConnection;
            notifyAll();
        }
        if (activeConnection != null) {
            activeConnection.abort();
        }
        if (abortCaller) {
            caller.abort();
        }
    }

    /**
     * Attaches the connection that is aborted if this exchange is cancelled.
     *
     * @return false if it is cancelled already
     */
    synchronized boolean attach(RunnerConnection connection) {
        runnerConnection = connection;
        usedConnections.add(connection);
        return !callerDisconnected && !expired;
    }

    /**
     * Whether the request may be sent on {@code connection}: on one that has carried it, a late
     * copy of the answer to the earlier send could not be told from the answer to the next one.
     */
    synchronized boolean maySendOn(RunnerConnection connection) {
        return !usedConnections.contains(connection);
    }

    /** Detaches the runner connection, which cancellation then no longer aborts. */
    synchronized void detach() {
        runnerConnection = null;
    }

    /** Marks the exchange as ended; later cancellations have no effect. */
    synchronized void end() {
        ended = true;
        runnerConnection = null;
    }

    synchronized boolean isCallerDisconnected() {
        return callerDisconnected;
    }

    synchronized boolean isExpired() {
        return expired || System.nanoTime() - deadlineNs >= 0;
    }

    /** Whether the caller disconnected or the deadline passed. */
    synchronized boolean isCancelled() {
        return callerDisconnected || expired || System.nanoTime() - deadlineNs >= 0;
    }

    /** Waits for {@code ms}, or until the exchange is cancelled. */
    synchronized void awaitCancellation(long ms) throws InterruptedException {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (!callerDisconnected && !expired) {
            long remainingNs = untilNs - System.nanoTime();
            if (remainingNs <= 0) {
                return;
            }
            TimeUnit.NANOSECONDS.timedWait(this, remainingNs);
        }
    }
}
