package org.skylarkmast.http;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections on a thread of its own until the listener is closed. Neither a lack of file
 * descriptors nor one of memory ends the thread; it pauses and continues.
 */
public final class ConnectionAcceptor {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionAcceptor.class);

    /** Pause after a failure; connections that end meanwhile release what was missing. */
    private static final long PAUSE_NS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Failures are logged at most once in this time. */
    private static final long LOG_PAUSE_NS = TimeUnit.SECONDS.toNanos(1);

    private final ServerSocket listener;
    private final Handler handler;
    private final Thread thread;
    private long failures;
    private long loggedNs = System.nanoTime() - LOG_PAUSE_NS;

    /** Takes over accepted connections; must not block. */
    @FunctionalInterface
    public interface Handler {
        /** Takes over {@code socket}, which is closed if this fails. */
        void open(Socket socket) throws IOException;
    }

    /**
     * @param name name of the thread
     * @param daemon whether the process may end while the thread runs
     */
    public ConnectionAcceptor(String name, boolean daemon, ServerSocket listener, Handler handler) {
        this.listener = listener;
        this.handler = handler;
        this.thread = Thread.ofPlatform().name(name).daemon(daemon).unstarted(this::run);
    }

    /** Starts accepting. */
    public void start() {
        thread.start();
    }

    /** Waits until the thread has ended after the listener was closed. */
    public void join() throws InterruptedException {
        thread.join();
    }

    private void run() {
        while (!listener.isClosed()) {
            try {
                accept();
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                if (!listener.isClosed()) {
                    pauseAfter(e);
                }
            }
        }
    }

    private void accept() throws IOException {
        Socket socket = listener.accept();
        boolean opened = false;
        try {
            handler.open(socket);
            opened = true;
        } finally {
            if (!opened) {
                socket.close();
            }
        }
    }

    private void pauseAfter(Throwable failure) {
        failures++;
        LockSupport.parkNanos(PAUSE_NS);
        long nowNs = System.nanoTime();
        if (nowNs - loggedNs < LOG_PAUSE_NS) {
            return;
        }
        loggedNs = nowNs;
        try {
            LOG.atWarn()
                    .addKeyValue("event", "accept_failed")
                    .addKeyValue("failures", failures)
                    .addKeyValue("reason", failure)
                    .log();
        } catch (OutOfMemoryError e) {
            // The line is written at the next failure, if memory allows it then.
        }
    }
}
