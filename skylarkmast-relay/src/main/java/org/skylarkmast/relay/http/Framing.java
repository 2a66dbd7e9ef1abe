package org.skylarkmast.relay.http;

import java.util.List;
import java.util.Set;
import org.skylarkmast.http.BodyLength;

/** How the end of a message body is determined (RFC 9112, section 6). */
public sealed interface Framing {

    /** Lower-case names of the fields that apply to a single connection and are never forwarded. */
    Set<String> HOP_BY_HOP_FIELDS =
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

    /** The message has no body. */
    record Empty() implements Framing {}

    /** The body has exactly {@code bytes} bytes. */
    record Length(long bytes) implements Framing {}

    /** The body uses chunked transfer encoding. */
    record Chunked() implements Framing {}

    /** The body ends when the connection is closed. */
    record UntilClose() implements Framing {}

    /** Returns the name of this framing in logs and metrics. */
    default String label() {
        return switch (this) {
            case Empty empty -> "none";
            case Length length -> "length";
            case Chunked chunked -> "chunked";
            case UntilClose untilClose -> "until_close";
        };
    }

    /**
     * Returns the framing that {@code fields} declare.
     *
     * @param defaultFraming framing of a message whose fields declare none
     * @throws MalformedMessageException if the declaration is ambiguous or invalid
     */
    static Framing of(HeaderFields fields, Framing defaultFraming)
            throws MalformedMessageException {
        BodyLength length =
                BodyLength.of(fields.values("Transfer-Encoding"), fields.values("Content-Length"));
        return switch (length) {
            case BodyLength.Undeclared undeclared -> defaultFraming;
            case BodyLength.Chunked chunked -> new Chunked();
            case BodyLength.Bytes bytes ->
                    bytes.count() == 0 ? new Empty() : new Length(bytes.count());
            case BodyLength.Invalid invalid ->
                    throw new MalformedMessageException(invalid.reason());
        };
    }

    /**
     * Returns the end-to-end fields: all except {@link #HOP_BY_HOP_FIELDS} and those that {@code
     * Connection} lists.
     */
    static HeaderFields endToEnd(HeaderFields fields) {
        HeaderFields endToEndFields = fields.without(HOP_BY_HOP_FIELDS);
        String connectionOptions = fields.first("Connection");
        if (connectionOptions == null) {
            return endToEndFields;
        }
        List<String> names =
                java.util.Arrays.stream(connectionOptions.split(",", -1))
                        .map(name -> name.strip().toLowerCase(java.util.Locale.ROOT))
                        .distinct()
                        .toList();
        return endToEndFields.without(Set.copyOf(names));
    }
}
