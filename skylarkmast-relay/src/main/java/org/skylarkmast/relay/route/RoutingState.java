package org.skylarkmast.relay.route;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The configuration in force in this process; thread-safe. */
public final class RoutingState {
    private static final Logger LOG = LoggerFactory.getLogger(RoutingState.class);

    private final CountDownLatch first = new CountDownLatch(1);
    private volatile RoutingConfiguration current;

    /** The configuration in force, or null before the first. */
    public RoutingConfiguration current() {
        return current;
    }

    /**
     * The configuration in force, waited for if none is known yet.
     *
     * @return null if none came within {@code waitMs}
     */
    public RoutingConfiguration await(long waitMs) throws InterruptedException {
        if (current == null) {
            first.await(waitMs, TimeUnit.MILLISECONDS);
        }
        return current;
    }

    /** Puts {@code offered} in force unless a version as new is in force already. */
    public synchronized void offer(RoutingConfiguration offered) {
        RoutingConfiguration before = current;
        if (before != null && offered.version() <= before.version()) {
            if (offered.version() < before.version()) {
                LOG.atWarn()
                        .addKeyValue("event", "older_configuration_ignored")
                        .addKeyValue("version", offered.version())
                        .addKeyValue("inForce", before.version())
                        .log();
            }
            return;
        }
        current = offered;
        first.countDown();
        LOG.atInfo()
                .addKeyValue("event", "configuration_in_force")
                .addKeyValue("version", offered.version())
                .addKeyValue("before", before == null ? 0 : before.version())
                .log();
    }
}
