package org.skylarkmast.http;

/** Takes a streamed answer line by line. */
@FunctionalInterface
public interface LineConsumer {

    /**
     * Takes one line without its end.
     *
     * @return whether to read on; {@code false} cuts the connection
     */
    boolean onLine(String line);
}
