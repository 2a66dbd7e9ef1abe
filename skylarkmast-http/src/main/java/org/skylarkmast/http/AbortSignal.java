package org.skylarkmast.http;

/** Lets another thread cut a request under way; thread-safe. */
public final class AbortSignal {
    private boolean aborted;
    private Runnable cut;

    /** Cuts the request now, or as soon as it is sent. */
    public void abort() {
        Runnable now;
        synchronized (this) {
            aborted = true;
            now = cut;
        }
        if (now != null) {
            now.run();
        }
    }

    /** Whether {@link #abort} was called. */
    public synchronized boolean aborted() {
        return aborted;
    }

    void onAbort(Runnable cutConnection) {
        boolean already;
        synchronized (this) {
            cut = cutConnection;
            already = aborted;
        }
        if (already && cutConnection != null) {
            cutConnection.run();
        }
    }
}
