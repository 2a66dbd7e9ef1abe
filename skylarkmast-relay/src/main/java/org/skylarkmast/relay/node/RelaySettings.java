package org.skylarkmast.relay.node;

import java.nio.file.Path;

/**
 * Settings of a node.
 *
 * @param node name of the host
 * @param failureDomain failure domain of the host
 * @param ip address at which other hosts reach the node
 * @param internalPort port for calls between nodes
 * @param metricsPort port of the metrics
 * @param callersAddress {@code host:port} for callers; empty on storage nodes
 * @param readinessAddress {@code host:port} for the load balancer's readiness checks; empty on
 *     storage nodes
 * @param dataFolder folder on the host's disk; null on entry nodes
 * @param firstStart whether the whole system is being started for the first time
 * @param toleratedLosses number of storage nodes that may be lost at the same time
 * @param graceMs time from the termination signal until the process is killed
 * @param workspaces bounds for keys and allowances
 * @param hostLimits limits of the host for the process
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
        long graceMs,
        WorkspaceSettings workspaces,
        HostLimits hostLimits) {

    /** Creates settings with the defaults for workspaces and unknown limits of the host. */
    public RelaySettings(
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
            long graceMs) {
        this(
                node,
                failureDomain,
                ip,
                internalPort,
                metricsPort,
                callersAddress,
                readinessAddress,
                dataFolder,
                firstStart,
                toleratedLosses,
                graceMs,
                WorkspaceSettings.DEFAULT,
                HostLimits.UNKNOWN);
    }
}
