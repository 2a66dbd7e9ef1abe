package org.skylarkmast.relay.limit;

/** The decision on a request to send to a runner with a rate limit. */
public sealed interface SendGrant {

    /**
     * The request may be sent.
     *
     * @param waitMs time until it may be sent, at least 0
     * @param nextWaitMs expected time until the next request may be sent, at least 0
     */
    record Granted(long waitMs, long nextWaitMs) implements SendGrant {}

    /**
     * The request would have to wait longer than it may.
     *
     * @param waitMs time until it could be sent
     */
    record Denied(long waitMs) implements SendGrant {}
}
