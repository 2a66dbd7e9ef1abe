package org.skylarkmast.daemon.loop;

import java.util.concurrent.Executor;

/** Runs tasks one at a time, in the order in which they were submitted. */
public interface EventLoop extends Executor {

    /** Runs {@code task} after a delay of {@code delayNs} nanoseconds. */
    void schedule(Runnable task, long delayNs);
}
