package org.skylarkmast.standins.store;

/** What became of a list of writes. */
public sealed interface ApplyOutcome {

    /** All took effect; {@code revision} is the store's revision after them. */
    record Applied(long revision) implements ApplyOutcome {}

    /** None took effect, since a lease named by one does not exist. */
    record LeaseNotFound(long leaseId) implements ApplyOutcome {}

    /** None took effect, since a key is put twice, or put and deleted; etcd refuses that. */
    record DuplicateKey(String key) implements ApplyOutcome {}
}
