package org.skylarkmast.daemon.node;

/**
 * An IP address and a port.
 *
 * @param port port number, or 0 for any free port
 */
record HostPort(String host, int port) {

    /** Parses {@code host:port}; the settings' validation has checked the form. */
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
