package org.skylarkmast.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/** The outcome of sending a request. */
public sealed interface HttpOutcome {

    /**
     * The complete response was received.
     *
     * @param headers by lower-case name
     * @param body empty if it was passed to a {@link LineConsumer}
     */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record Answered(int status, Map<String, String> headers, byte[] body) implements HttpOutcome {

        /** Returns the body decoded as UTF-8. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** Returns the header {@code lowerCaseName}, if the server sent it. */
        public Optional<String> header(String lowerCaseName) {
            return Optional.ofNullable(headers.get(lowerCaseName));
        }
    }

    /** No connection could be established, so the request was certainly not sent. */
    record NotSent(String reason) implements HttpOutcome {}

    /** The connection failed before the response was complete; the request may have executed. */
    record Broken(String reason) implements HttpOutcome {}

    /** The server sent no data within the timeout; the request may have executed. */
    record TimedOut() implements HttpOutcome {}
}
