package org.skylarkmast.http;

/** Answers requests; called on the connection's own thread and may block. */
@FunctionalInterface
public interface HttpHandler {

    /** Answers {@code call}. */
    HttpReply handle(HttpCall call);
}
