package org.skylarkmast.relay.http;

import java.io.IOException;

/** Thrown if a message is not valid HTTP/1.1 or its framing is ambiguous. */
public final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the violated rule; a caller may receive it. */
    public MalformedMessageException(String message) {
        super(message);
    }
}
