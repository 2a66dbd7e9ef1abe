package org.skylarkmast.core.store;

/**
 * A key with its value.
 *
 * @param createRevision revision at which the key was created
 * @param modRevision revision of the last write of the key
 * @param leaseId lease that the key is bound to, or 0 for none
 */
@SuppressWarnings("ArrayRecordComponent") // values are opaque and never compared
public record StoreEntry(
        String key, byte[] value, long createRevision, long modRevision, long leaseId) {}
