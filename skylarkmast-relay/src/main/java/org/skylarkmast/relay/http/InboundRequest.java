package org.skylarkmast.relay.http;

/**
 * The head of a request received from a caller.
 *
 * @param target request target in origin form, as received
 * @param persistent whether the caller allows the connection to be reused
 * @param expectsContinue whether the caller waits for an interim answer 100 before it sends the
 *     body
 */
public record InboundRequest(
        String method,
        String target,
        HeaderFields fields,
        Framing framing,
        boolean persistent,
        boolean expectsContinue) {

    /** Returns the target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
