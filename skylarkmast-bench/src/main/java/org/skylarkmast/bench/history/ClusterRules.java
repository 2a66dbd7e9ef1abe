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
import org.skylarkmast.bench.history.HistoryRecord.EngineCacheHeld;
import org.skylarkmast.bench.history.HistoryRecord.ProgramEnded;
import org.skylarkmast.bench.history.HistoryRecord.RunnerLeaving;
import org.skylarkmast.bench.history.HistoryRecord.RunnerLive;
import org.skylarkmast.bench.history.HistoryRecord.TargetCall;

/** Checks nodes and runners: engine cache, host list, graceful shutdown, configuration. */
final class ClusterRules {
    private final HistoryIndex index;
    private final CheckerLimits limits;
    private final List<Violation> violations = new ArrayList<>();

    ClusterRules(HistoryIndex index, CheckerLimits limits) {
        this.index = index;
        this.limits = limits;
    }

    List<Violation> check() {
        checkEngineMemory();
        index.all(RunnerLeaving.class).forEach(this::checkLeaving);
        index.requests().forEach(this::checkGracefulShutdown);
        checkRevisionsNeverDecrease();
        index.all(ConfigurationAccepted.class).forEach(this::checkAppliedInTime);
        return violations;
    }

    private void checkEngineMemory() {
        Set<String> ended = new HashSet<>();
        index.all(ProgramEnded.class).forEach(end -> ended.add(end.program()));
        for (EngineCacheHeld held : index.all(EngineCacheHeld.class)) {
            if (ended.contains(rootProgram(held.program()))) {
                add(
                        Invariant.ENGINE_MEMORY,
                        held.runner(),
                        "holds cache of ended program " + held.program());
            }
        }
    }

    private static String rootProgram(String program) {
        int slash = program.indexOf('/');
        return slash < 0 ? program : program.substring(0, slash);
    }

    private void checkLeaving(RunnerLeaving leaving) {
        long liveAgainMs =
                index.all(RunnerLive.class).stream()
                        .filter(live -> live.runner().equals(leaving.runner()))
                        .mapToLong(RunnerLive::atMs)
                        .filter(atMs -> atMs >= leaving.atMs())
                        .min()
                        .orElse(Long.MAX_VALUE);
        long fromMs = leaving.atMs() + limits.leavingMs();
        for (TargetCall run : index.all(TargetCall.class)) {
            boolean late = run.atMs() > fromMs && run.atMs() < liveAgainMs;
            if (late && run.runner().equals(leaving.runner())) {
                add(
                        Invariant.LEAVING_TARGET,
                        leaving.runner(),
                        "received call "
                                + run.key()
                                + " after leaving for "
                                + (run.atMs() - leaving.atMs())
                                + " ms");
            }
        }
    }

    private void checkGracefulShutdown(Request request) {
        for (Attempt attempt : request.attempts()) {
            String host = attempt.sent().host();
            long sentMs = attempt.sent().atMs();
            attempt.disconnection()
                    .filter(
                            disconnection ->
                                    disconnection.connected()
                                            && !index.hadFault(host, sentMs, disconnection.atMs()))
                    .ifPresent(
                            disconnection ->
                                    add(
                                            Invariant.GRACEFUL_SHUTDOWN,
                                            host,
                                            request.id()
                                                    + " disconnected: "
                                                    + disconnection.reason()));
            attempt.answer()
                    .filter(answer -> answer.execution() == HistoryRecord.Execution.UNKNOWN)
                    .filter(answer -> !index.anyFaultBefore(answer.atMs()))
                    .ifPresent(
                            answer ->
                                    add(
                                            Invariant.GRACEFUL_SHUTDOWN,
                                            host,
                                            request.id() + " answered as unknown without a fault"));
        }
    }

    private void checkRevisionsNeverDecrease() {
        Map<String, Long> latest = new HashMap<>();
        for (ConfigurationSeen seen : index.all(ConfigurationSeen.class)) {
            long previous = latest.getOrDefault(seen.node(), 0L);
            if (seen.revision() < previous) {
                add(
                        Invariant.CONFIGURATION,
                        seen.node(),
                        "reverted from revision " + previous + " to " + seen.revision());
            }
            latest.put(seen.node(), Math.max(previous, seen.revision()));
        }
    }

    private void checkAppliedInTime(ConfigurationAccepted accepted) {
        long dueMs = accepted.atMs() + limits.configurationMs();
        for (ConfigurationSeen seen : index.all(ConfigurationSeen.class)) {
            long sinceMs = seen.atMs() - limits.configurationMs();
            boolean late = seen.atMs() > dueMs && seen.revision() < accepted.revision();
            if (late && !index.hadFault(seen.node(), sinceMs, seen.atMs())) {
                add(
                        Invariant.CONFIGURATION,
                        seen.node(),
                        "still at revision "
                                + seen.revision()
                                + ", expected "
                                + accepted.revision());
            }
        }
    }

    private void add(Invariant invariant, String subject, String detail) {
        violations.add(new Violation(invariant, subject, detail));
    }
}
