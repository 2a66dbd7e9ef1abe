package org.skylarkmast.relay.http;

import java.util.List;
import java.util.Set;

/** How the body of a message is delimited, and which fields say so. */
public sealed interface Framing {

    /** Fields that concern one connection only and are never forwarded. */
    Set<String> CONNECTION_FIELDS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect");

    /** No body follows. */
    record Empty() implements Framing {}

    /** Exactly {@code bytes} follow. */
    record Length(long bytes) implements Framing {}

    /** Chunks follow. */
    record Chunked() implements Framing {}

    /** The body ends with the connection. */
    record UntilClose() implements Framing {}

    /**
     * The framing that {@code fields} declare.
     *
     * @param absent what holds if they declare none
     * @throws MalformedMessageException if they contradict each other
     */
    static Framing of(HeaderFields fields, Framing absent) throws MalformedMessageException {
        int encodings = fields.count("Transfer-Encoding");
        int lengths = fields.count("Content-Length");
        if (encodings + lengths > 1) {
            throw new MalformedMessageException("more than one field declares the body's length");
        }
        if (encodings == 1) {
            if (!fields.first("Transfer-Encoding").strip().equalsIgnoreCase("chunked")) {
                throw new MalformedMessageException("unknown transfer encoding");
            }
            return new Chunked();
        }
        if (lengths == 0) {
            return absent;
        }
        String length = fields.first("Content-Length");
        if (length.isEmpty()
                || length.length() > 18
                || !length.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new MalformedMessageException("content length is not a number");
        }
        long bytes = Long.parseLong(length);
        return bytes == 0 ? new Empty() : new Length(bytes);
    }

    /** The fields named by {@code Connection}, which are not forwarded either. */
    static HeaderFields endToEnd(HeaderFields fields) {
        HeaderFields kept = fields.without(CONNECTION_FIELDS);
        String listed = fields.first("Connection");
        if (listed == null) {
            return kept;
        }
        List<String> names =
                java.util.Arrays.stream(listed.split(",", -1))
                        .map(name -> name.strip().toLowerCase(java.util.Locale.ROOT))
                        .distinct()
                        .toList();
        return kept.without(Set.copyOf(names));
    }
}
