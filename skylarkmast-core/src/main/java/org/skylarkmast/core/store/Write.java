package org.skylarkmast.core.store;

/** One write of a transaction. */
public sealed interface Write {

    /**
     * Stores {@code value} under {@code key}.
     *
     * @param leaseId lease that the key is bound to, or 0 for none
     */
    @SuppressWarnings("ArrayRecordComponent") // values are opaque and never compared
    record Put(String key, byte[] value, long leaseId) implements Write {}

    /** Removes {@code key}; no effect if it does not exist. */
    record Delete(String key) implements Write {}

    /** Removes all keys from {@code fromKey} (inclusive) to {@code toKey} (exclusive). */
    record DeleteRange(String fromKey, String toKey) implements Write {}
}
