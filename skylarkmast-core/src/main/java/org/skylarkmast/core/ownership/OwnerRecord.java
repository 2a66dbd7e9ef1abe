package org.skylarkmast.core.ownership;

/**
 * The stored ownership record of a partition.
 *
 * <p>No two writes store the same pair of incarnation and epoch, so the pair tells after a lost
 * answer whose claim is stored.
 *
 * @param incarnation owner's incarnation
 * @param node owner's name
 * @param peerAddress where the owner takes forwarded calls, {@code host:port}
 * @param epoch grows by one with every write of the record
 */
public record OwnerRecord(String incarnation, String node, String peerAddress, long epoch) {

    /** The record as a location. */
    public OwnerLocation location() {
        return new OwnerLocation(incarnation, node, peerAddress, epoch);
    }
}
