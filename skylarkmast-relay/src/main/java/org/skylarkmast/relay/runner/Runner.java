package org.skylarkmast.relay.runner;

/**
 * The registration of a runner.
 *
 * @param id runner id, checked by the runner on each request
 * @param address {@code host:port}
 * @param slots maximum number of requests processed at once, at least 1
 * @param softwareVersion version of the runner's software, not of its model; empty if unknown
 * @param draining whether it is shutting down and accepts no new requests
 * @param startedAtMs start time as Unix time, which distinguishes incarnations with the same id; 0
 *     if unknown
 */
public record Runner(
        String id,
        String service,
        String address,
        String failureDomain,
        int slots,
        String softwareVersion,
        boolean draining,
        long startedAtMs) {

    /** Key under which statistics about this incarnation are kept. */
    public String incarnation() {
        return id + "/" + startedAtMs;
    }
}
