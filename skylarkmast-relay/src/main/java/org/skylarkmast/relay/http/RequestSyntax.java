package org.skylarkmast.relay.http;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.skylarkmast.http.FieldSyntax;

/** Rejects request heads that another HTTP implementation could interpret differently. */
final class RequestSyntax {

    private RequestSyntax() {}

    static void checkField(String name, String value) throws MalformedMessageException {
        if (!FieldSyntax.isToken(name)) {
            throw new MalformedMessageException("invalid field name");
        }
        if (!FieldSyntax.isValue(value)) {
            throw new MalformedMessageException("control character in a field");
        }
    }

    static String checkedTarget(ClassicHttpRequest request) throws MalformedMessageException {
        if (!FieldSyntax.isToken(request.getMethod())) {
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
}
