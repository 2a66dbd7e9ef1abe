package org.skylarkmast.http;

import java.util.Map;

/**
 * A request to be sent by {@link HttpClient}.
 *
 * @param address {@code host:port}
 * @param path path with query, already encoded
 * @param body empty for none
 * @param timeoutMs longest time without data from the server, above 0
 * @param freshConnection whether to open a new connection; the server may have closed a pooled one,
 *     which is noticed only after sending, when it is unknown whether the request was executed
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
public record ClientRequest(
        String address,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        long timeoutMs,
        boolean freshConnection) {

    public ClientRequest {
        headers = Map.copyOf(headers);
    }

    /** Creates a GET request without headers. */
    public static ClientRequest get(String address, String path, long timeoutMs) {
        return new ClientRequest(address, "GET", path, Map.of(), new byte[0], timeoutMs, false);
    }
}
