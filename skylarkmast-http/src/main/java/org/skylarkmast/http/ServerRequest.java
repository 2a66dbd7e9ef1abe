package org.skylarkmast.http;

import java.util.Map;
import java.util.Optional;

/**
 * A request received by the server, with its complete body.
 *
 * @param path decoded path without the query
 * @param query decoded query parameters
 * @param headers by lower-case name; the first value of a repeated header
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
public record ServerRequest(
        String method,
        String path,
        Map<String, String> query,
        Map<String, String> headers,
        byte[] body) {

    public ServerRequest {
        query = Map.copyOf(query);
        headers = Map.copyOf(headers);
    }

    /** Returns the header {@code lowerCaseName}, if the caller sent it. */
    public Optional<String> header(String lowerCaseName) {
        return Optional.ofNullable(headers.get(lowerCaseName));
    }
}
