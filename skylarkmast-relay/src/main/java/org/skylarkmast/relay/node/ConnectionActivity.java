package org.skylarkmast.relay.node;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Whether a connection is idle, serves a request, or is closed. Decides atomically between a
 * request that begins and another thread that closes the connection because it is idle.
 * Thread-safe.
 */
final class ConnectionActivity {
    private final AtomicReference<State> state = new AtomicReference<>(State.IDLE);

    private enum State {
        IDLE,
        SERVING,
        CLOSED
    }

    /** Begins a request; returns false if the connection was closed, so that none may begin. */
    boolean beginRequest() {
        return state.compareAndSet(State.IDLE, State.SERVING);
    }

    /** Ends the request in progress, if there is one. */
    void endRequest() {
        state.compareAndSet(State.SERVING, State.IDLE);
    }

    /** Closes the connection for requests; returns false if one is in progress. */
    boolean closeIfIdle() {
        return state.compareAndSet(State.IDLE, State.CLOSED) || state.get() == State.CLOSED;
    }
}
