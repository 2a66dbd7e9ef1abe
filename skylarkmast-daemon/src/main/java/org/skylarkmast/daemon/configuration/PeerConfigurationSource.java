package org.skylarkmast.daemon.configuration;

import java.util.List;

/** Asks other nodes for their configuration while the key-value service cannot be read. */
@FunctionalInterface
public interface PeerConfigurationSource {

    /**
     * Snapshots, in the form of {@link org.skylarkmast.core.config.ConfigurationSnapshot}, of peers
     * whose revision is above {@code revision}; blocks for a bounded time and leaves out peers that
     * do not answer.
     */
    List<byte[]> newerThan(long revision);
}
