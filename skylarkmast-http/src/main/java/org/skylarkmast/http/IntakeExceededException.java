package org.skylarkmast.http;

import java.io.IOException;

/** Thrown if a node holds too much for its callers to receive the rest of a request. */
public final class IntakeExceededException extends IOException {
    private static final long serialVersionUID = 1L;

    public IntakeExceededException() {
        super("this node holds too much for its callers");
    }
}
