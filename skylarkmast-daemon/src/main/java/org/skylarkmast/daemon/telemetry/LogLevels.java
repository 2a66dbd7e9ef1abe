package org.skylarkmast.daemon.telemetry;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Sets which events are logged. */
public final class LogLevels {
    private static final String OWN_LOGGERS = "org.skylarkmast";

    private LogLevels() {}

    /**
     * Sets the least level of the project's own events; libraries stay at warnings.
     *
     * @param level one of error, warn, info, debug and trace
     */
    public static void set(String level) {
        if (LoggerFactory.getLogger(OWN_LOGGERS) instanceof Logger logger) {
            logger.setLevel(Level.toLevel(level, Level.INFO));
        }
    }
}
