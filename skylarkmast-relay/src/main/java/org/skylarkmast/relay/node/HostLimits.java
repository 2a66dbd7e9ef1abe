package org.skylarkmast.relay.node;

/**
 * Limits of the host for one process.
 *
 * @param memoryMb memory in MB, 0 if unknown
 * @param maxDescriptors open file descriptors, 0 if unknown
 */
public record HostLimits(int memoryMb, int maxDescriptors) {

    /** Limits that are not known. */
    public static final HostLimits UNKNOWN = new HostLimits(0, 0);
}
