package org.skylarkmast.daemon.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.skylarkmast.daemon.loop.ThreadEventLoop;

/** The threads of a daemon: event loops that own state, a timer, and threads for blocking calls. */
final class DaemonExecutors implements AutoCloseable {

    /** Event loops that share the partitions; several, so that a slow replay delays only some. */
    private static final int PARTITION_LOOP_COUNT = 4;

    final ThreadEventLoop ownership;
    final ThreadEventLoop journal;
    final ThreadEventLoop scheduler;
    final ThreadEventLoop membership;
    final List<ThreadEventLoop> partitions = new ArrayList<>();
    final ExecutorService blocking = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    /**
     * @param onBrokenInvariant receives an exception that a task of an event loop threw
     */
    DaemonExecutors(Consumer<RuntimeException> onBrokenInvariant) {
        ownership = new ThreadEventLoop("ownership", onBrokenInvariant);
        journal = new ThreadEventLoop("journal", onBrokenInvariant);
        scheduler = new ThreadEventLoop("scheduler", onBrokenInvariant);
        membership = new ThreadEventLoop("membership", onBrokenInvariant);
        for (int i = 0; i < PARTITION_LOOP_COUNT; i++) {
            partitions.add(new ThreadEventLoop("partitions-" + i, onBrokenInvariant));
        }
    }

    List<Executor> partitionExecutors() {
        return List.copyOf(partitions);
    }

    /** Runs a task that does not block, with a pause of {@code intervalMs} between runs. */
    void schedule(long intervalMs, Runnable task) {
        ScheduledFuture<?> _ =
                timer.scheduleWithFixedDelay(task, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task that may block every {@code intervalMs}; skips a run while one is in progress.
     */
    void scheduleBlocking(long intervalMs, Runnable task) {
        Semaphore idle = new Semaphore(1);
        schedule(
                intervalMs,
                () -> {
                    if (idle.tryAcquire()) {
                        blocking.execute(
                                () -> {
                                    try {
                                        task.run();
                                    } finally {
                                        idle.release();
                                    }
                                });
                    }
                });
    }

    @Override
    public void close() {
        timer.shutdownNow();
        blocking.shutdownNow();
        membership.close();
        scheduler.close();
        journal.close();
        ownership.close();
        partitions.forEach(ThreadEventLoop::close);
    }
}
