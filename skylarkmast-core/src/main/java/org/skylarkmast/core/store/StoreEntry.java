package org.skylarkmast.core.store;

/**
 * A key with its value.
 *
 * @param createRevision revision at which the key came to be
 * @param modRevision revision of its last write
 * @param leaseId lease it is bound to, or 0
 */
@SuppressWarnings("ArrayRecordComponent") // values are opaque and never compared
public record StoreEntry(
        String key, byte[] value, long createRevision, long modRevision, long leaseId) {}
