package org.skylarkmast.relay.route;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds the current configuration of this process; thread-safe. */
public final class RoutingState {
    private static final Logger LOG = LoggerFactory.getLogger(RoutingState.class);

    /** Limits in force until a configuration has been received; bound what a node holds. */
    private static final CallerLimits DEFAULT_LIMITS =
            new CallerLimits(65_536, 4 << 20, 3000, 15_000, true);

    private final CountDownLatch firstConfiguration = new CountDownLatch(1);
    private volatile RoutingConfiguration current;
    private volatile long unreadableVersion;

    /** Revision of the key-value service at which the configuration in force was last written. */
    private volatile long appliedRevision;

    /** Returns the limits on callers' requests that are in force. */
    public CallerLimits callerLimits() {
        RoutingConfiguration configuration = current;
        return configuration == null ? DEFAULT_LIMITS : configuration.limits();
    }

    /** Returns the current configuration, or null before the first. */
    public RoutingConfiguration current() {
        return current;
    }

    /**
     * Returns the current configuration; waits for the first one if there is none yet.
     *
     * @return null if none arrived within {@code waitMs}
     */
    public RoutingConfiguration await(long waitMs) throws InterruptedException {
        if (current == null) {
            firstConfiguration.await(waitMs, TimeUnit.MILLISECONDS);
        }
        return current;
    }

    /** Returns the version in force, or 0 before the first configuration. */
    public long version() {
        RoutingConfiguration configuration = current;
        return configuration == null ? 0 : configuration.version();
    }

    /**
     * Returns the version of the newest configuration if that could not be read: 0 if it could, -1
     * if even its version could not be read.
     */
    public long unreadableVersion() {
        return unreadableVersion;
    }

    /**
     * Records that the newest configuration could not be read; the one before stays in force.
     *
     * @param version its version, or -1 if it could not be read
     * @param revision revision of the key-value service at which it was written
     */
    public synchronized void recordUnreadable(long version, long revision, Throwable reason) {
        unreadableVersion = version;
        LOG.atError()
                .addKeyValue("event", "configuration_unreadable")
                .addKeyValue("version", version)
                .addKeyValue("revision", revision)
                .addKeyValue("inForce", version())
                .setCause(reason)
                .log();
    }

    /**
     * Returns the revision of the key-value service at which the configuration in force was last
     * written; 0 if it is not known.
     */
    public long appliedRevision() {
        return appliedRevision;
    }

    /** Whether requests need keys, or may need them once the newest configuration is readable. */
    public boolean mayHaveWorkspaces() {
        RoutingConfiguration configuration = current;
        return unreadableVersion != 0 || (configuration != null && configuration.hasWorkspaces());
    }

    /** Replaces the current configuration by {@code offered} if its version is higher. */
    public void updateIfNewer(RoutingConfiguration offered) {
        updateIfNewer(offered, 0);
    }

    /**
     * Replaces the current configuration by {@code offered} if its version is higher.
     *
     * @param revision revision of the key-value service at which it was written
     */
    public synchronized void updateIfNewer(RoutingConfiguration offered, long revision) {
        unreadableVersion = 0;
        replaceIfNewer(offered);
        // Last: who reads the revision finds a configuration that is at least as new.
        if (current.version() == offered.version()) {
            appliedRevision = Math.max(appliedRevision, revision);
        }
    }

    private void replaceIfNewer(RoutingConfiguration offered) {
        RoutingConfiguration previous = current;
        if (previous != null && offered.version() <= previous.version()) {
            if (offered.version() < previous.version()) {
                LOG.atWarn()
                        .addKeyValue("event", "older_configuration_ignored")
                        .addKeyValue("version", offered.version())
                        .addKeyValue("inForce", previous.version())
                        .log();
            }
            return;
        }
        current = offered;
        firstConfiguration.countDown();
        LOG.atInfo()
                .addKeyValue("event", "configuration_in_force")
                .addKeyValue("version", offered.version())
                .addKeyValue("before", previous == null ? 0 : previous.version())
                .log();
    }
}
