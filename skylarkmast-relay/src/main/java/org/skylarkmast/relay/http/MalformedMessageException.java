package org.skylarkmast.relay.http;

import java.io.IOException;

/** A message that does not follow HTTP/1.1, or whose framing is ambiguous. */
public final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates it with what is wrong. */
    public MalformedMessageException(String message) {
        super(message);
    }
}
