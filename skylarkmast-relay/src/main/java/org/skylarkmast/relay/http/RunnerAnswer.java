package org.skylarkmast.relay.http;

/**
 * The head of an answer received from a runner.
 *
 * @param persistent whether the connection may be reused for another exchange
 */
public record RunnerAnswer(int status, HeaderFields fields, Framing framing, boolean persistent) {

    /**
     * Returns how long the runner keeps the idle connection open, in ms.
     *
     * @param defaultMs result if the answer declares no timeout
     * @return 0 if the declared timeout is not a number
     */
    public long keepAliveMs(long defaultMs) {
        String field = fields.first("Keep-Alive");
        if (field == null) {
            return defaultMs;
        }
        for (String parameter : field.split(",", -1)) {
            String trimmed = parameter.strip();
            if (trimmed.regionMatches(true, 0, "timeout=", 0, 8)) {
                try {
                    return Long.parseLong(trimmed.substring(8).strip()) * 1000;
                } catch (NumberFormatException e) {
                    return 0;
                }
            }
        }
        return defaultMs;
    }
}
