package org.skylarkmast.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** What a handler answers. */
public sealed interface HttpReply {

    /** A reply whose body is at hand. */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record Full(int status, Map<String, String> headers, String contentType, byte[] body)
            implements HttpReply {}

    /** A reply whose body is written as it comes into being. */
    record Streamed(int status, Map<String, String> headers, String contentType, StreamBody body)
            implements HttpReply {}

    /** Writes a body; each flush reaches the caller at once. */
    @FunctionalInterface
    interface StreamBody {

        /**
         * Writes the whole body to {@code out} without closing it.
         *
         * @throws IOException if the caller is gone or the body cannot be completed; the connection
         *     is then cut, so that a cut body is never taken for a whole one
         */
        void writeTo(OutputStream out) throws IOException;
    }

    /** A JSON reply without further headers. */
    static HttpReply json(int status, String json) {
        return new Full(
                status, Map.of(), "application/json", json.getBytes(StandardCharsets.UTF_8));
    }

    /** A plain-text reply without further headers. */
    static HttpReply text(int status, String text) {
        return new Full(status, Map.of(), "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }
}
