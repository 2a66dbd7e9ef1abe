package org.skylarkmast.daemon.loop;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An event loop on a thread of its own.
 *
 * <p>An exception thrown by a task means that an invariant is violated; it is passed to a handler,
 * and the loop continues. Tasks submitted after {@link #close} are discarded.
 */
public final class ThreadEventLoop implements EventLoop, AutoCloseable {
    private final ScheduledExecutorService executor;
    private final Consumer<RuntimeException> taskFailureHandler;

    /**
     * Starts a loop.
     *
     * @param name name of the thread
     * @param taskFailureHandler called with the exceptions that tasks throw
     */
    public ThreadEventLoop(String name, Consumer<RuntimeException> taskFailureHandler) {
        executor =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().name(name).daemon().factory());
        this.taskFailureHandler = taskFailureHandler;
    }

    @Override
    public void execute(Runnable task) {
        schedule(task, 0);
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // run() passes failures to the handler
    public void schedule(Runnable task, long delayNs) {
        try {
            executor.schedule(() -> run(task), delayNs, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException expected) {
            // the loop is closed; the task is discarded
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
            taskFailureHandler.accept(e);
        }
    }
}
