package org.skylarkmast.http;

import java.util.Map;
import java.util.Optional;

/**
 * A request as the server received it, body read whole.
 *
 * @param path decoded path without the query
 * @param query decoded query parameters
 * @param headers by lower-case name; of repeated headers the first
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
public record HttpCall(
        String method,
        String path,
        Map<String, String> query,
        Map<String, String> headers,
        byte[] body) {

    public HttpCall {
        query = Map.copyOf(query);
        headers = Map.copyOf(headers);
    }

    /** The header {@code lowerCaseName}, if sent. */
    public Optional<String> header(String lowerCaseName) {
        return Optional.ofNullable(headers.get(lowerCaseName));
    }
}
