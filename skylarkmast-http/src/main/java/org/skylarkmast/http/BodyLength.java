package org.skylarkmast.http;

import java.util.List;

/** The length of a message's body as the fields of its head declare it (RFC 9112, section 6). */
public sealed interface BodyLength {
    /** Decimal digits that certainly fit into a long. */
    int MAX_DIGITS = 18;

    /** No field declares it. */
    record Undeclared() implements BodyLength {}

    /** The body uses chunked transfer encoding. */
    record Chunked() implements BodyLength {}

    /** The body has exactly {@code count} bytes. */
    record Bytes(long count) implements BodyLength {}

    /**
     * The declaration is ambiguous or invalid.
     *
     * @param reason the violated rule; quotes no field
     */
    record Invalid(String reason) implements BodyLength {}

    /**
     * Returns the declared length.
     *
     * @param transferEncodings values of all {@code Transfer-Encoding} fields
     * @param contentLengths values of all {@code Content-Length} fields
     */
    static BodyLength of(List<String> transferEncodings, List<String> contentLengths) {
        if (transferEncodings.size() + contentLengths.size() > 1) {
            return new Invalid("more than one field declares the body's length");
        }
        if (!transferEncodings.isEmpty()) {
            return transferEncodings.getFirst().strip().equalsIgnoreCase("chunked")
                    ? new Chunked()
                    : new Invalid("unknown transfer encoding");
        }
        return contentLengths.isEmpty() ? new Undeclared() : ofDigits(contentLengths.getFirst());
    }

    private static BodyLength ofDigits(String length) {
        boolean number =
                !length.isEmpty()
                        && length.length() <= MAX_DIGITS
                        && length.chars().allMatch(c -> c >= '0' && c <= '9');
        return number
                ? new Bytes(Long.parseLong(length))
                : new Invalid("content length is not a number");
    }
}
