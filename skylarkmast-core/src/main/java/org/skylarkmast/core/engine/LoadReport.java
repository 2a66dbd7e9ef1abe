package org.skylarkmast.core.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The load of a runner as reported by its metrics.
 *
 * @param startedAtMs start time of the runner as it reports it, in wall-clock milliseconds
 */
public record LoadReport(
        int running,
        int waiting,
        long cacheUsedTokens,
        long cacheCapacityTokens,
        long startedAtMs) {
    private static final double MS_PER_SECOND = 1_000.0;

    /**
     * Parses a report in the Prometheus text format; empty if a required metric is missing or
     * malformed, or if the report is truncated: its last line must end with a line feed.
     */
    public static Optional<LoadReport> parse(String text) {
        if (!text.endsWith("\n")) {
            return Optional.empty();
        }
        Map<String, Double> values = new HashMap<>();
        text.lines()
                .filter(line -> !line.startsWith("#"))
                .forEach(line -> parseSample(line.strip(), values));
        Double running = values.get("engine_requests_running");
        Double waiting = values.get("engine_requests_waiting");
        Double started = values.get("engine_start_time_seconds");
        if (running == null || waiting == null || started == null) {
            return Optional.empty();
        }
        return Optional.of(
                new LoadReport(
                        running.intValue(),
                        waiting.intValue(),
                        values.getOrDefault("engine_cache_used_tokens", 0.0).longValue(),
                        values.getOrDefault("engine_cache_capacity_tokens", 0.0).longValue(),
                        Math.round(started * MS_PER_SECOND)));
    }

    private static void parseSample(String line, Map<String, Double> values) {
        int space = line.lastIndexOf(' ');
        if (space < 0) {
            return;
        }
        int labels = line.indexOf('{');
        String name = line.substring(0, labels < 0 ? space : labels).strip();
        try {
            values.put(name, Double.valueOf(line.substring(space + 1)));
        } catch (NumberFormatException ignored) {
            // A sample whose value is not a number counts as missing.
        }
    }
}
