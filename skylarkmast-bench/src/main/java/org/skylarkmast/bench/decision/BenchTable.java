package org.skylarkmast.bench.decision;

import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Formats the results as a text table; each figure is the median over the seeds. */
final class BenchTable {
    static final String HEADER =
            String.format(
                    "%-10s %-13s %4s %-32s %8s %8s %8s %8s %8s %6s %6s %6s %6s %6s %6s %6s %6s %7s",
                    "profile",
                    "fault",
                    "load",
                    "policy",
                    "p50Ms",
                    "p95Ms",
                    "p99Ms",
                    "ttft95Ms",
                    "ownTtft",
                    "itl95",
                    "waste%",
                    "refuse",
                    "retry",
                    "bad",
                    "away",
                    "good/s",
                    "jain",
                    "leaked");

    private BenchTable() {}

    static String row(BenchRuns.Series series) {
        ToDoubleFunction<RunResult> lateOrFailed = result -> result.late() + result.failed();
        return String.format(
                Locale.ROOT,
                "%-10s %-13s %4.1f %-32s %8.0f %8.0f %8.0f %8.0f %8.0f %6.1f %6.2f %6.0f %6.0f"
                        + " %6.0f %6.0f %6.2f %6.3f %7.0f",
                series.profile(),
                series.fault(),
                series.loadFactor(),
                series.policy(),
                series.median(RunResult::programP50Ms),
                series.median(RunResult::programP95Ms),
                series.median(RunResult::programP99Ms),
                series.median(RunResult::firstTokenP95Ms),
                series.median(RunResult::engineFirstTokenP95Ms),
                series.median(RunResult::interTokenP95Ms),
                100 * series.median(RunResult::wastedShare),
                series.median(RunResult::refusals),
                series.median(RunResult::retries),
                series.median(lateOrFailed),
                series.median(RunResult::turnedAway),
                series.median(RunResult::goodputPerS),
                series.median(RunResult::jainIndex),
                series.median(RunResult::leakedTokens));
    }
}
