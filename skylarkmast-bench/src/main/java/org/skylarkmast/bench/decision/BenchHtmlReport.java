package org.skylarkmast.bench.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Renders the results as an HTML page with one bar chart of p95 program latency per load. */
final class BenchHtmlReport {
    private static final int BAR_HEIGHT = 18;
    private static final int LABEL_WIDTH = 260;
    private static final int CHART_WIDTH = 600;

    private BenchHtmlReport() {}

    static String render(List<BenchRuns.Series> allSeries) {
        Map<String, StringBuilder> chartsByTitle = new LinkedHashMap<>();
        Map<String, Integer> rowsByTitle = new LinkedHashMap<>();
        Map<String, Double> longestMs = new LinkedHashMap<>();
        for (BenchRuns.Series series : allSeries) {
            longestMs.merge(title(series), p95Ms(series), Math::max);
        }
        for (BenchRuns.Series series : allSeries) {
            String title = title(series);
            int row = rowsByTitle.merge(title, 1, Integer::sum) - 1;
            chartsByTitle
                    .computeIfAbsent(title, key -> new StringBuilder())
                    .append(bar(series, row, longestMs.get(title)));
        }
        StringBuilder page =
                new StringBuilder(
                        "<!doctype html><meta charset=\"utf-8\"><title>Decision bench</title>"
                                + "<h1>p95 program latency, median over seeds</h1>\n");
        chartsByTitle.forEach(
                (title, bars) ->
                        page.append(
                                String.format(
                                        Locale.ROOT,
                                        "<h2>%s</h2><svg width=\"%d\" height=\"%d\">%s</svg>%n",
                                        title,
                                        LABEL_WIDTH + CHART_WIDTH + 120,
                                        BAR_HEIGHT * (rowsByTitle.get(title) + 1),
                                        bars)));
        return page.toString();
    }

    private static String title(BenchRuns.Series series) {
        return String.format(
                Locale.ROOT,
                "%s, fault %s, load %.1f",
                series.profile(),
                series.fault(),
                series.loadFactor());
    }

    private static double p95Ms(BenchRuns.Series series) {
        return series.median(RunResult::programP95Ms);
    }

    private static String bar(BenchRuns.Series series, int row, double longestMs) {
        int top = row * BAR_HEIGHT;
        double width = CHART_WIDTH * p95Ms(series) / Math.max(1, longestMs);
        return String.format(
                Locale.ROOT,
                "<text x=\"0\" y=\"%d\" font-size=\"12\">%s</text>"
                        + "<rect x=\"%d\" y=\"%d\" width=\"%.0f\" height=\"%d\" fill=\"#47a\"/>"
                        + "<text x=\"%.0f\" y=\"%d\" font-size=\"12\">%.0f ms</text>",
                top + 13,
                series.policy(),
                LABEL_WIDTH,
                top + 2,
                width,
                BAR_HEIGHT - 4,
                LABEL_WIDTH + width + 6,
                top + 13,
                p95Ms(series));
    }
}
