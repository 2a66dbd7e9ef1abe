package org.skylarkmast.core.journal;

/**
 * A record of which a peer holds a copy because the key-value service could not store it.
 *
 * @param epoch epoch of the owner that appended the record
 */
@SuppressWarnings("ArrayRecordComponent") // records are opaque and never compared
public record CopiedRecord(int partition, long epoch, long sequence, byte[] record) {}
