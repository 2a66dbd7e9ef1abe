package org.skylarkmast.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import ch.qos.logback.core.LayoutBase;
import java.time.Instant;
import java.util.List;
import org.slf4j.event.KeyValuePair;

/**
 * Formats a log event as one line of key=value pairs: time, level, logger, then those of the event.
 *
 * <p>Values with blanks, quotes, equals signs or control characters are quoted and escaped, so that
 * an event never takes more than one line.
 */
public final class KeyValueLayout extends LayoutBase<ILoggingEvent> {

    /** Maximum number of stack frames written; the cause is mostly visible in the first few. */
    private static final int MAX_FRAMES = 8;

    @Override
    public String doLayout(ILoggingEvent event) {
        StringBuilder line = new StringBuilder();
        line.append("time=").append(Instant.ofEpochMilli(event.getTimeStamp()));
        appendPair(line, "level", event.getLevel().toString());
        appendPair(line, "logger", shortName(event.getLoggerName()));
        List<KeyValuePair> pairs = event.getKeyValuePairs();
        if (pairs != null) {
            for (KeyValuePair pair : pairs) {
                appendPair(line, pair.key, String.valueOf(pair.value));
            }
        }
        String message = event.getFormattedMessage();
        if (message != null && !message.isEmpty()) {
            appendPair(line, "message", message);
        }
        appendError(line, event.getThrowableProxy());
        return line.append('\n').toString();
    }

    private static void appendError(StringBuilder line, IThrowableProxy thrown) {
        if (thrown == null) {
            return;
        }
        appendPair(line, "error", thrown.getClassName() + ": " + thrown.getMessage());
        if (thrown.getCause() != null) {
            IThrowableProxy cause = thrown.getCause();
            appendPair(line, "cause", cause.getClassName() + ": " + cause.getMessage());
        }
        StringBuilder stack = new StringBuilder();
        StackTraceElementProxy[] frames = thrown.getStackTraceElementProxyArray();
        for (int i = 0; i < Math.min(frames.length, MAX_FRAMES); i++) {
            stack.append(i == 0 ? "" : " < ").append(frames[i].getStackTraceElement());
        }
        appendPair(line, "stack", stack.toString());
    }

    private static void appendPair(StringBuilder line, String key, String value) {
        line.append(' ').append(key).append('=');
        if (needsQuotes(value)) {
            appendQuoted(line, value);
        } else {
            line.append(value);
        }
    }

    private static boolean needsQuotes(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= ' ' || c == '"' || c == '=' || c == '\\' || Character.isISOControl(c)) {
                return true;
            }
        }
        return value.isEmpty();
    }

    private static void appendQuoted(StringBuilder line, String value) {
        line.append('"');
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            switch (c) {
                case '"' -> line.append("\\\"");
                case '\\' -> line.append("\\\\");
                case '\n' -> line.append("\\n");
                case '\r' -> line.append("\\r");
                case '\t' -> line.append("\\t");
                default -> {
                    if (Character.isISOControl(c)) {
                        line.append(String.format("\\u%04x", (int) c));
                    } else {
                        line.append(c);
                    }
                }
            }
        }
        line.append('"');
    }

    private static String shortName(String loggerName) {
        return loggerName.substring(loggerName.lastIndexOf('.') + 1);
    }
}
