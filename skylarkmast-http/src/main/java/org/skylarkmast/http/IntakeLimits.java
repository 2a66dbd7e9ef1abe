package org.skylarkmast.http;

/**
 * Bounds on what a server holds for its callers.
 *
 * @param maxBytes maximum number of bytes of requests that are received or served
 * @param maxConnections maximum number of open connections
 * @param maxServingMs time in ms from which on a request in service may be broken off to make room;
 *     0 if none may
 */
public record IntakeLimits(long maxBytes, int maxConnections, long maxServingMs) {

    /** No bounds. */
    public static final IntakeLimits UNLIMITED =
            new IntakeLimits(Long.MAX_VALUE, Integer.MAX_VALUE, 0);
}
