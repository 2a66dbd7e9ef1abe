package org.skylarkmast.daemon.loop;

import java.util.concurrent.Executor;

/** Runs tasks one at a time, in the order in which they were given. */
public interface EventLoop extends Executor {

    /** Runs {@code task} once {@code delayNs} nanoseconds have passed. */
    void schedule(Runnable task, long delayNs);
}
