package org.skylarkmast.daemon.telemetry;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Sets the log level. */
public final class LogLevels {
    private static final String PROJECT_LOGGER = "org.skylarkmast";

    private LogLevels() {}

    /**
     * Sets the log level of the project's own loggers; libraries stay at the level warn.
     *
     * @param level one of error, warn, info, debug and trace
     */
    public static void set(String level) {
        if (LoggerFactory.getLogger(PROJECT_LOGGER) instanceof Logger logger) {
            logger.setLevel(Level.toLevel(level, Level.INFO));
        }
    }
}
