package org.skylarkmast.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Entry point of the command-line tool. */
public final class Main {
    private Main() {}

    /** Runs the command given by {@code args} and exits with its {@link ExitCode}. */
    public static void main(String[] args) {
        if (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
            root.setLevel(Level.ERROR);
        }
        ExitCode code = new CommandLine(System.out, System.err, System.getenv()).run(args);
        System.exit(code.status());
    }
}
