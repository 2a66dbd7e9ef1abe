package org.skylarkmast.relay.node;

import java.nio.file.Path;

/**
 * Settings of a node.
 *
 * @param node name of the host
 * @param failureDomain failure domain of the host
 * @param ip address it is reached at by other hosts
 * @param internalPort port for calls between nodes
 * @param metricsPort port of the metrics
 * @param callersAddress {@code host:port} for callers; empty on storage nodes
 * @param readinessAddress {@code host:port} for the balancer's question; empty on storage nodes
 * @param dataFolder folder on the host's disk; null on entry nodes
 * @param firstStart whether the whole system starts for the first time
 * @param toleratedLosses storage nodes that may be lost at once
 * @param graceMs time from the signal to end until the process is killed
 */
public record RelaySettings(
        String node,
        String failureDomain,
        String ip,
        int internalPort,
        int metricsPort,
        String callersAddress,
        String readinessAddress,
        Path dataFolder,
        boolean firstStart,
        int toleratedLosses,
        long graceMs) {}
