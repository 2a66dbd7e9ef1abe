package org.skylarkmast.core.membership;

import java.util.List;

/**
 * One reading of the platform's list of hosts. The list may be out of date, and hosts may be
 * missing from it.
 *
 * @param revision increases with every change of the list
 */
public record HostList(long revision, List<Host> hosts) {

    public HostList {
        hosts = List.copyOf(hosts);
    }

    /**
     * One host.
     *
     * @param address address of a runner, or of the callers' port of a daemon
     * @param leaving whether the host is about to leave the platform
     */
    public record Host(String address, boolean leaving) {}
}
