package org.skylarkmast.relay.http;

import org.apache.hc.core5.http.ClassicHttpRequest;

/** Rejects request heads that another HTTP implementation could interpret differently. */
final class RequestSyntax {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private RequestSyntax() {}

    static void checkField(String name, String value) throws MalformedMessageException {
        if (!isToken(name)) {
            throw new MalformedMessageException("invalid field name");
        }
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if ((c < ' ' && c != '\t') || c == 0x7F) {
                throw new MalformedMessageException("control character in a field");
            }
        }
    }

    static String checkedTarget(ClassicHttpRequest request) throws MalformedMessageException {
        if (!isToken(request.getMethod())) {
            throw new MalformedMessageException("invalid method");
        }
        String target = request.getRequestUri();
        if (target == null || !target.startsWith("/") || request.getAuthority() != null) {
            throw new MalformedMessageException("request target is not in origin form");
        }
        for (int i = 0; i < target.length(); i++) {
            char c = target.charAt(i);
            if (c <= ' ' || c >= 0x7F || c == '#') {
                throw new MalformedMessageException("invalid character in the request target");
            }
        }
        return target;
    }

    static void checkHost(HeaderFields fields) throws MalformedMessageException {
        if (fields.count("Host") != 1) {
            throw new MalformedMessageException("exactly one Host field is required");
        }
    }

    private static boolean isToken(String text) {
        if (text == null || text.isEmpty()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean letterOrDigit =
                    (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
            if (!letterOrDigit && TOKEN_PUNCTUATION.indexOf(c) < 0) {
                return false;
            }
        }
        return true;
    }
}
