package org.skylarkmast.relay.runner;

/**
 * A runner as it is registered.
 *
 * @param id identity of this incarnation, checked by the runner on each request
 * @param address {@code host:port}
 * @param slots requests it works on at once, at least 1
 * @param draining whether it is leaving and takes no new work
 * @param startedAtMs when it started, Unix time; tells incarnations of one id apart; 0 if unknown
 */
public record Runner(
        String id,
        String service,
        String address,
        String failureDomain,
        int slots,
        boolean draining,
        long startedAtMs) {

    /** Key of what was learned about this incarnation. */
    public String incarnation() {
        return id + "/" + startedAtMs;
    }
}
