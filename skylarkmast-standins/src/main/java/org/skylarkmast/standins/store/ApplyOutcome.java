package org.skylarkmast.standins.store;

/** The outcome of applying a list of writes. */
public sealed interface ApplyOutcome {

    /** All writes took effect; {@code revision} is the revision of the store after them. */
    record Applied(long revision) implements ApplyOutcome {}

    /** No write took effect, since one refers to a lease that does not exist. */
    record LeaseNotFound(long leaseId) implements ApplyOutcome {}

    /** No write took effect, since a key is put twice or both put and deleted, as in etcd. */
    record DuplicateKey(String key) implements ApplyOutcome {}
}
