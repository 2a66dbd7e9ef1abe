package org.skylarkmast.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** The response of a handler. */
public sealed interface HttpReply {

    /** A reply with a body held in memory. */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record Full(int status, Map<String, String> headers, String contentType, byte[] body)
            implements HttpReply {}

    /** A reply whose body is written incrementally. */
    record Streamed(int status, Map<String, String> headers, String contentType, StreamBody body)
            implements HttpReply {}

    /** Writes a response body; each flush sends the data written so far. */
    @FunctionalInterface
    interface StreamBody {

        /**
         * Writes the complete body to {@code out} without closing it.
         *
         * @throws IOException if the caller has disconnected or the body cannot be completed; the
         *     connection is then closed, so that the caller detects the truncated body
         */
        void writeTo(OutputStream out) throws IOException;
    }

    /** Creates a JSON reply without further headers. */
    static HttpReply json(int status, String json) {
        return new Full(
                status, Map.of(), "application/json", json.getBytes(StandardCharsets.UTF_8));
    }

    /** Creates a plain-text reply without further headers. */
    static HttpReply text(int status, String text) {
        return new Full(status, Map.of(), "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }
}
