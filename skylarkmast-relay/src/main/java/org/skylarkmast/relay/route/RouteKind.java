package org.skylarkmast.relay.route;

/** Determines which requests of a route may be retried. */
public enum RouteKind {

    /** Requests may run more than once. */
    IDEMPOTENT,

    /** A request runs at most once for each attempt of its caller. */
    AT_MOST_ONCE,

    /** Answers are event streams; a request runs at most once unless the stream can be resumed. */
    STREAM
}
