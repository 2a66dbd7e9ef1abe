package org.skylarkmast.daemon.configuration;

import java.util.List;

/** Fetches configurations from other nodes while the key-value service cannot be read. */
@FunctionalInterface
public interface PeerConfigurationSource {

    /**
     * Returns the configurations of peers whose revision is above {@code revision}, encoded as
     * {@link org.skylarkmast.core.config.ConfigurationSnapshot}. Blocks for a bounded time and
     * omits peers that do not answer.
     */
    List<byte[]> newerThan(long revision);
}
