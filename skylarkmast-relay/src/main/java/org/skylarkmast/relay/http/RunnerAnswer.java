package org.skylarkmast.relay.http;

/**
 * The head of a runner's answer.
 *
 * @param persistent whether the connection may serve another exchange afterwards
 */
public record RunnerAnswer(int status, HeaderFields fields, Framing framing, boolean persistent) {

    /** How long the runner keeps the idle connection in ms, or {@code absentMs} if not said. */
    public long keepAliveMs(long absentMs) {
        String field = fields.first("Keep-Alive");
        if (field == null) {
            return absentMs;
        }
        for (String part : field.split(",", -1)) {
            String trimmed = part.strip();
            if (trimmed.regionMatches(true, 0, "timeout=", 0, 8)) {
                try {
                    return Long.parseLong(trimmed.substring(8).strip()) * 1000;
                } catch (NumberFormatException e) {
                    return 0;
                }
            }
        }
        return absentMs;
    }
}
