package org.skylarkmast.bench.cluster;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process started by a cluster, with its output redirected to a log file. */
final class ChildProcess {
    private static final long SIGNAL_TIMEOUT_MS = 10_000;

    private final String name;
    private final Process process;

    private ChildProcess(String name, Process process) {
        this.name = name;
        this.process = process;
    }

    /**
     * Starts {@code command}.
     *
     * @param log file to which the output is appended
     */
    static ChildProcess start(String name, List<String> command, Path log) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectInput(new File("/dev/null"));
        return new ChildProcess(name, builder.start());
    }

    String name() {
        return name;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends {@code signal} to this process by its process id; does nothing if it has ended. */
    void signal(Signal signal) throws IOException {
        if (!process.isAlive()) {
            return;
        }
        Process kill =
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        await(kill, SIGNAL_TIMEOUT_MS);
    }

    /**
     * Waits for the process to end.
     *
     * @return whether it ended in time
     */
    boolean awaitEnd(long timeoutMs) {
        return await(process, timeoutMs);
    }

    /** Kills the process, even if it is paused, and waits for it to end. */
    void destroy() {
        process.destroyForcibly();
        await(process, SIGNAL_TIMEOUT_MS);
    }

    private static boolean await(Process process, long timeoutMs) {
        try {
            return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
