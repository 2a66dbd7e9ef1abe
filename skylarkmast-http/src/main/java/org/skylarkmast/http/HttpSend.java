package org.skylarkmast.http;

import java.util.Map;

/**
 * A request to send.
 *
 * @param address {@code host:port}
 * @param path path with query, already encoded
 * @param body empty for none
 * @param timeoutMs longest silence to bear, above 0
 * @param freshConnection whether to open a connection of its own; a kept one may turn out closed
 *     only after sending, which leaves open whether the request ran
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
public record HttpSend(
        String address,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        long timeoutMs,
        boolean freshConnection) {

    public HttpSend {
        headers = Map.copyOf(headers);
    }

    /** A GET without headers. */
    public static HttpSend get(String address, String path, long timeoutMs) {
        return new HttpSend(address, "GET", path, Map.of(), new byte[0], timeoutMs, false);
    }
}
