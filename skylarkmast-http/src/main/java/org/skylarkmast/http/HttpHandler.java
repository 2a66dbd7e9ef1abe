package org.skylarkmast.http;

/** Answers requests; called on the thread of the connection, and may block. */
@FunctionalInterface
public interface HttpHandler {

    HttpReply handle(ServerRequest request);
}
