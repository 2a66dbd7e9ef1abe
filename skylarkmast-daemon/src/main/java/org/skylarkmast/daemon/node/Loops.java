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

/** The threads of a daemon: event loops that own state, and threads for calls that block. */
final class Loops implements AutoCloseable {

    /** Loops that share the partitions; enough to keep a slow replay from holding up all others. */
    private static final int PARTITION_LOOPS = 4;

    final ThreadEventLoop ownership;
    final ThreadEventLoop journal;
    final ThreadEventLoop scheduler;
    final ThreadEventLoop membership;
    final List<ThreadEventLoop> partitions = new ArrayList<>();
    final ExecutorService blocking = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    /**
     * @param onBrokenInvariant told of an exception that a loop's task threw
     */
    Loops(Consumer<RuntimeException> onBrokenInvariant) {
        ownership = new ThreadEventLoop("ownership", onBrokenInvariant);
        journal = new ThreadEventLoop("journal", onBrokenInvariant);
        scheduler = new ThreadEventLoop("scheduler", onBrokenInvariant);
        membership = new ThreadEventLoop("membership", onBrokenInvariant);
        for (int i = 0; i < PARTITION_LOOPS; i++) {
            partitions.add(new ThreadEventLoop("partitions-" + i, onBrokenInvariant));
        }
    }

    List<Executor> partitionExecutors() {
        return List.copyOf(partitions);
    }

    /** Runs a short task every {@code everyMs}. */
    void every(long everyMs, Runnable task) {
        ScheduledFuture<?> _ =
                timer.scheduleWithFixedDelay(task, everyMs, everyMs, TimeUnit.MILLISECONDS);
    }

    /** Runs a task that may block every {@code everyMs}, never twice at once. */
    void everyBlocking(long everyMs, Runnable task) {
        Semaphore idle = new Semaphore(1);
        every(
                everyMs,
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
