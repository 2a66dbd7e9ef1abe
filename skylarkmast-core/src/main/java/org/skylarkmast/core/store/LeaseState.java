package org.skylarkmast.core.store;

/** The state of a lease as the service last reported it. */
public sealed interface LeaseState {

    /**
     * The lease is alive.
     *
     * @param leaseId id of the lease
     * @param ttlMs remaining time to live without a renewal, counted from when the service answered
     */
    record Alive(long leaseId, long ttlMs) implements LeaseState {}

    /** The lease has expired or was revoked; the keys bound to it are removed. */
    record Expired(long leaseId) implements LeaseState {}
}
