package org.skylarkmast.http;

import java.io.IOException;

/** Counts what a connection holds for its peer while a request is received. */
@FunctionalInterface
public interface IntakeMeter {

    /** Counts nothing. */
    IntakeMeter UNLIMITED = bytes -> {};

    /**
     * Charges memory that is about to be allocated.
     *
     * @param bytes number of bytes
     * @throws IntakeExceededException if the connection must not hold more
     */
    void charge(long bytes) throws IOException;
}
