package org.skylarkmast.core.membership;

import java.util.List;

/**
 * The platform's list of hosts as read once; it lags and hosts may be missing from it.
 *
 * @param revision grows with every change of the list
 */
public record HostList(long revision, List<Host> hosts) {

    public HostList {
        hosts = List.copyOf(hosts);
    }

    /**
     * One host.
     *
     * @param address of a runner, or of a daemon's callers' port
     * @param leaving whether it is about to go
     */
    public record Host(String address, boolean leaving) {}
}
