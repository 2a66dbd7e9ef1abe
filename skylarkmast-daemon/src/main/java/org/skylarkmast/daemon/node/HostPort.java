package org.skylarkmast.daemon.node;

/**
 * An IP address and a port.
 *
 * @param port 0 for any free one
 */
record HostPort(String host, int port) {

    /** Reads {@code host:port}, which the settings' schema has checked. */
    static HostPort parse(String address) {
        int colon = address.lastIndexOf(':');
        return new HostPort(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
