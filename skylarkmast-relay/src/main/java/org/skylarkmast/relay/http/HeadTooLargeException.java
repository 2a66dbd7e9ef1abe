package org.skylarkmast.relay.http;

import java.io.IOException;

/** Thrown if the head of a message exceeds its maximum size. */
public final class HeadTooLargeException extends IOException {
    private static final long serialVersionUID = 1L;

    HeadTooLargeException(int maxHeadBytes) {
        super("head is longer than " + maxHeadBytes + " bytes");
    }
}
