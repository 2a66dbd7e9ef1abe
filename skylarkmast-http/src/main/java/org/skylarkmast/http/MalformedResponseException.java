package org.skylarkmast.http;

import java.io.IOException;

/** Thrown if a response has a line that HTTP/1.1 does not allow. */
public final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message names the violated rule and quotes nothing that was received, which may belong
     *     to another request
     */
    MalformedResponseException(String message) {
        super(message);
    }
}
