package org.skylarkmast.core.journal;

/**
 * A record that a peer keeps because the key-value service could not take it.
 *
 * @param epoch epoch of the owner that appended it
 */
@SuppressWarnings("ArrayRecordComponent") // records are opaque and never compared
public record CopiedRecord(int partition, long epoch, long sequence, byte[] record) {}
