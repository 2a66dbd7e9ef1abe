package org.skylarkmast.relay.http;

/**
 * A request whose head was read.
 *
 * @param target request target in origin form, as received
 * @param persistent whether the caller lets the connection be used again
 * @param expectsContinue whether the caller waits for an interim answer before it sends the body
 */
public record InboundRequest(
        String method,
        String target,
        HeaderFields fields,
        Framing framing,
        boolean persistent,
        boolean expectsContinue) {

    /** The part of the target before the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
