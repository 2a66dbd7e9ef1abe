package org.skylarkmast.relay.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Wraps tasks to log their exceptions and an exhausted heap, which the executors would discard. */
final class LoggedTask {
    private static final Logger LOG = LoggerFactory.getLogger(LoggedTask.class);

    private LoggedTask() {}

    /** Returns a task that logs {@code failureEvent} if {@code task} throws. */
    static Runnable of(String failureEvent, Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | OutOfMemoryError e) {
                LOG.atError().addKeyValue("event", failureEvent).setCause(e).log();
            }
        };
    }
}
