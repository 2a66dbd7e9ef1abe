package org.skylarkmast.http;

/** Receives the lines of a streamed response. */
@FunctionalInterface
public interface LineConsumer {

    /**
     * Called for each line, without its line terminator.
     *
     * @return whether to continue reading; {@code false} closes the connection
     */
    boolean onLine(String line);
}
