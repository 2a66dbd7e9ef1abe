package org.skylarkmast.core.store;

/** The state of a lease as the service last reported it. */
public sealed interface LeaseState {

    /**
     * The lease is alive.
     *
     * @param leaseId its id
     * @param ttlMs time it lives on without a renewal, counted from when the service answered
     */
    record Alive(long leaseId, long ttlMs) implements LeaseState {}

    /** The lease has expired or was revoked; keys bound to it are gone. */
    record Expired(long leaseId) implements LeaseState {}
}
