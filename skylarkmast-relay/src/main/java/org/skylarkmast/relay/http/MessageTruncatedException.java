package org.skylarkmast.relay.http;

import java.io.IOException;

/** The peer closed the connection after the first byte of a message and before its end. */
public final class MessageTruncatedException extends IOException {
    private static final long serialVersionUID = 1L;

    MessageTruncatedException(String message) {
        super(message);
    }
}
