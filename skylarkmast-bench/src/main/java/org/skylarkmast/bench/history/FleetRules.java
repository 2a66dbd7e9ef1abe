package org.skylarkmast.bench.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkmast.bench.history.HistoryIndex.Attempt;
import org.skylarkmast.bench.history.HistoryIndex.Request;
import org.skylarkmast.bench.history.HistoryRecord.ConfigurationAccepted;
import org.skylarkmast.bench.history.HistoryRecord.ConfigurationSeen;
import org.skylarkmast.bench.history.HistoryRecord.EngineHeld;
import org.skylarkmast.bench.history.HistoryRecord.ProgramEnded;
import org.skylarkmast.bench.history.HistoryRecord.RunnerLeaving;
import org.skylarkmast.bench.history.HistoryRecord.RunnerLive;
import org.skylarkmast.bench.history.HistoryRecord.TargetSaw;

/** The rules that concern nodes and runners. */
final class FleetRules {
    private final HistoryIndex index;
    private final CheckerLimits limits;
    private final List<Violation> found = new ArrayList<>();

    FleetRules(HistoryIndex index, CheckerLimits limits) {
        this.index = index;
        this.limits = limits;
    }

    List<Violation> check() {
        checkEngineMemory();
        index.all(RunnerLeaving.class).forEach(this::checkLeaving);
        index.requests().forEach(this::checkNothingCut);
        checkNeverReverts();
        index.all(ConfigurationAccepted.class).forEach(this::checkInForce);
        return found;
    }

    private void checkEngineMemory() {
        Set<String> ended = new HashSet<>();
        index.all(ProgramEnded.class).forEach(end -> ended.add(end.program()));
        for (EngineHeld held : index.all(EngineHeld.class)) {
            if (ended.contains(root(held.program()))) {
                add(Invariant.ENGINE_MEMORY, held.runner(), "holds " + held.program());
            }
        }
    }

    private static String root(String program) {
        int slash = program.indexOf('/');
        return slash < 0 ? program : program.substring(0, slash);
    }

    private void checkLeaving(RunnerLeaving leaving) {
        long backMs =
                index.all(RunnerLive.class).stream()
                        .filter(live -> live.runner().equals(leaving.runner()))
                        .mapToLong(RunnerLive::atMs)
                        .filter(atMs -> atMs >= leaving.atMs())
                        .min()
                        .orElse(Long.MAX_VALUE);
        long fromMs = leaving.atMs() + limits.leavingMs();
        for (TargetSaw run : index.all(TargetSaw.class)) {
            boolean late = run.atMs() > fromMs && run.atMs() < backMs;
            if (late && run.runner().equals(leaving.runner())) {
                add(
                        Invariant.LEAVING_TARGET,
                        leaving.runner(),
                        "got " + run.key() + " after " + (run.atMs() - leaving.atMs()) + " ms");
            }
        }
    }

    private void checkNothingCut(Request request) {
        for (Attempt attempt : request.attempts()) {
            String host = attempt.sent().host();
            long sentMs = attempt.sent().atMs();
            attempt.cut()
                    .filter(cut -> cut.connected() && !index.faulty(host, sentMs, cut.atMs()))
                    .ifPresent(
                            cut ->
                                    add(
                                            Invariant.GRACEFUL_SHUTDOWN,
                                            host,
                                            request.id() + " cut: " + cut.reason()));
            attempt.answer()
                    .filter(answer -> answer.execution() == HistoryRecord.Execution.UNKNOWN)
                    .filter(answer -> !index.anyFaultBefore(answer.atMs()))
                    .ifPresent(
                            answer ->
                                    add(
                                            Invariant.GRACEFUL_SHUTDOWN,
                                            host,
                                            request.id() + " left unknown without a fault"));
        }
    }

    private void checkNeverReverts() {
        Map<String, Long> latest = new HashMap<>();
        for (ConfigurationSeen seen : index.all(ConfigurationSeen.class)) {
            long before = latest.getOrDefault(seen.node(), 0L);
            if (seen.revision() < before) {
                add(
                        Invariant.CONFIGURATION,
                        seen.node(),
                        "reverted from " + before + " to " + seen.revision());
            }
            latest.put(seen.node(), Math.max(before, seen.revision()));
        }
    }

    private void checkInForce(ConfigurationAccepted accepted) {
        long dueMs = accepted.atMs() + limits.configurationMs();
        for (ConfigurationSeen seen : index.all(ConfigurationSeen.class)) {
            long sinceMs = seen.atMs() - limits.configurationMs();
            boolean late = seen.atMs() > dueMs && seen.revision() < accepted.revision();
            if (late && !index.faulty(seen.node(), sinceMs, seen.atMs())) {
                add(
                        Invariant.CONFIGURATION,
                        seen.node(),
                        "still at " + seen.revision() + ", not " + accepted.revision());
            }
        }
    }

    private void add(Invariant invariant, String subject, String detail) {
        found.add(new Violation(invariant, subject, detail));
    }
}
