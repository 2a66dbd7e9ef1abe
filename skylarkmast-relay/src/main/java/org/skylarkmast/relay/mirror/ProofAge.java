package org.skylarkmast.relay.mirror;

/** Age of the last proof that a mirror is up to date. */
final class ProofAge {
    private static final double NS_PER_SECOND = 1e9;

    private ProofAge() {}

    /**
     * Returns the seconds since {@code provenNs} on the JDK's monotonic clock; infinite if it is 0,
     * which stands for no proof yet.
     */
    static double seconds(long provenNs) {
        return provenNs == 0
                ? Double.POSITIVE_INFINITY
                : (System.nanoTime() - provenNs) / NS_PER_SECOND;
    }
}
