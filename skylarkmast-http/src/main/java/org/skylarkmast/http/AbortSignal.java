package org.skylarkmast.http;

/** Lets another thread abort a request in flight by closing its connection; thread-safe. */
public final class AbortSignal {
    private boolean aborted;
    private Runnable abortAction;

    /** Aborts the request now, or once it is sent if it has not been sent yet. */
    public void abort() {
        Runnable action;
        synchronized (this) {
            aborted = true;
            action = abortAction;
        }
        if (action != null) {
            action.run();
        }
    }

    /** Whether {@link #abort} was called. */
    public synchronized boolean aborted() {
        return aborted;
    }

    void onAbort(Runnable closeConnection) {
        boolean alreadyAborted;
        synchronized (this) {
            abortAction = closeConnection;
            alreadyAborted = aborted;
        }
        if (alreadyAborted && closeConnection != null) {
            closeConnection.run();
        }
    }
}
