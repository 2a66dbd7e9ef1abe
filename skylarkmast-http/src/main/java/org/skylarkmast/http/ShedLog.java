package org.skylarkmast.http;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs connections that a server closes because it holds too much for its callers, one line a
 * second at most. Each line names the remote address of one connection and the number of those
 * closed since the line before. Thread-safe.
 */
public final class ShedLog {
    private static final Logger LOG = LoggerFactory.getLogger(ShedLog.class);
    private static final long PAUSE_NS = TimeUnit.SECONDS.toNanos(1);

    private long closed;
    private long loggedNs;
    private boolean logged;

    /**
     * Records one connection.
     *
     * @param remote address of the peer
     * @param exceeded what was exceeded: {@code bytes}, {@code connections} or {@code write_time}
     * @param nowNs time of a monotonic clock
     */
    public synchronized void record(Object remote, String exceeded, long nowNs) {
        closed++;
        if (logged && nowNs - loggedNs < PAUSE_NS) {
            return;
        }
        LOG.atWarn()
                .addKeyValue("event", "caller_connection_closed")
                .addKeyValue("exceeded", exceeded)
                .addKeyValue("remote", remote)
                .addKeyValue("closed", closed)
                .log();
        closed = 0;
        logged = true;
        loggedNs = nowNs;
    }
}
