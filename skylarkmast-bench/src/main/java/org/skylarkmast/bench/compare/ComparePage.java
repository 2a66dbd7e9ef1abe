package org.skylarkmast.bench.compare;

import java.util.List;
import java.util.Locale;

/** Renders a comparison as an HTML page. */
final class ComparePage {
    private static final String HEAD =
            """
            <!DOCTYPE html>
            <html lang="en"><head><meta charset="utf-8"><title>skylarkmast bench</title>
            <style>body{font-family:sans-serif}td,th{padding:4px 12px;text-align:right}
            th:first-child,td:first-child{text-align:left}</style></head><body>
            """;

    private ComparePage() {}

    static String html(String profile, List<PolicyResult> results) {
        StringBuilder page = new StringBuilder(HEAD);
        page.append("<h1>Profile ").append(profile).append("</h1><table><tr>");
        for (String column :
                List.of(
                        "policy",
                        "seed",
                        "whole programs",
                        "latency p50, ms",
                        "latency p95, ms",
                        "wasted prefill",
                        "programs/s")) {
            page.append("<th>").append(column).append("</th>");
        }
        page.append("</tr>\n");
        results.forEach(result -> page.append(row(result)));
        return page.append("</table></body></html>\n").toString();
    }

    private static String row(PolicyResult result) {
        return String.format(
                Locale.ROOT,
                "<tr><td>%s</td><td>%d</td><td>%d of %d</td><td>%d</td><td>%d</td>"
                        + "<td>%.1f %%</td><td>%.2f</td></tr>%n",
                result.policy(),
                result.seed(),
                result.whole(),
                result.programs(),
                result.latencyP50Ms(),
                result.latencyP95Ms(),
                100 * result.wastedShare(),
                result.programsPerSecond());
    }
}
