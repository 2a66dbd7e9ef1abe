package org.skylarkmast.relay.quarantine;

import java.util.List;

/** What a node knows about crashes of runners and about requests suspected of them. */
public record QuarantineReport(List<CrashReport> crashes, List<CompletionReport> completions) {

    /** The report of a node that knows of no crash. */
    public static final QuarantineReport EMPTY = new QuarantineReport(List.of(), List.of());

    public QuarantineReport {
        crashes = List.copyOf(crashes);
        completions = List.copyOf(completions);
    }
}
