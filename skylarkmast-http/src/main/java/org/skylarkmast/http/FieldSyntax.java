package org.skylarkmast.http;

/** What the names and values of header fields may hold (RFC 9110, section 5). */
public final class FieldSyntax {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private FieldSyntax() {}

    /** Returns whether {@code text} is a token, as methods and the names of fields are. */
    public static boolean isToken(CharSequence text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean letterOrDigit =
                    (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
            if (!letterOrDigit && TOKEN_PUNCTUATION.indexOf(c) < 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Returns whether {@code text} has no control character but tabs, as a field's value must. */
    public static boolean isValue(CharSequence text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if ((c < ' ' && c != '\t') || c == 0x7F) {
                return false;
            }
        }
        return true;
    }
}
