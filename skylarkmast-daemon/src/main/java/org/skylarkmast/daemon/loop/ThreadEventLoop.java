package org.skylarkmast.daemon.loop;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An event loop on a thread of its own.
 *
 * <p>A task that throws has broken an invariant; the failure is given to a handler and the loop
 * goes on. Tasks given after {@link #close} are dropped.
 */
public final class ThreadEventLoop implements EventLoop, AutoCloseable {
    private final ScheduledExecutorService executor;
    private final Consumer<RuntimeException> onBrokenInvariant;

    /**
     * Starts a loop.
     *
     * @param name name of its thread
     * @param onBrokenInvariant told of exceptions out of tasks
     */
    public ThreadEventLoop(String name, Consumer<RuntimeException> onBrokenInvariant) {
        executor =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().name(name).daemon().factory());
        this.onBrokenInvariant = onBrokenInvariant;
    }

    @Override
    public void execute(Runnable task) {
        schedule(task, 0);
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // failures go to the handler
    public void schedule(Runnable task, long delayNs) {
        try {
            executor.schedule(() -> run(task), delayNs, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException expected) {
            // closed: nothing is left to be done
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            onBrokenInvariant.accept(e);
        }
    }
}
