package org.skylarkmast.relay.http;

import java.io.IOException;

/** The head of a message is longer than allowed. */
public final class HeadTooLargeException extends IOException {
    private static final long serialVersionUID = 1L;

    HeadTooLargeException(int maxHeadBytes) {
        super("head is longer than " + maxHeadBytes + " bytes");
    }
}
