package org.skylarkmast.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/** What became of a request that was sent. */
public sealed interface HttpOutcome {

    /**
     * The whole answer arrived.
     *
     * @param headers by lower-case name
     * @param body empty where a stream consumer took it
     */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record Answered(int status, Map<String, String> headers, byte[] body) implements HttpOutcome {

        /** The body as UTF-8 text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** The header {@code lowerCaseName}, if sent. */
        public Optional<String> header(String lowerCaseName) {
            return Optional.ofNullable(headers.get(lowerCaseName));
        }
    }

    /** No connection could be made, so the request provably never left. */
    record NotSent(String reason) implements HttpOutcome {}

    /** The connection broke before the whole answer arrived; the request may have run. */
    record Broken(String reason) implements HttpOutcome {}

    /** The other side was silent for too long; the request may have run. */
    record TimedOut() implements HttpOutcome {}
}
