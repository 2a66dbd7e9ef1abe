package org.skylarkmast.core.ownership;

/**
 * The stored ownership record of a partition.
 *
 * <p>No two writes store the same pair of incarnation and epoch. If the answer to a claim is lost,
 * reading the record back therefore shows whether that claim was stored.
 *
 * @param incarnation incarnation of the owner
 * @param node name of the owner
 * @param peerAddress address at which the owner accepts forwarded calls, {@code host:port}
 * @param epoch increases by one with every write of the record
 */
public record OwnerRecord(String incarnation, String node, String peerAddress, long epoch) {

    /** Returns the location of the owner. */
    public OwnerLocation location() {
        return new OwnerLocation(incarnation, node, peerAddress, epoch);
    }
}
