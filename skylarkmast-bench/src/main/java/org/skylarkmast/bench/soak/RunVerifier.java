package org.skylarkmast.bench.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.skylarkmast.bench.caller.CallerClient;
import org.skylarkmast.bench.cluster.Await;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.LocalCluster;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.history.AnswerRule;
import org.skylarkmast.bench.history.CheckerLimits;
import org.skylarkmast.bench.history.HistoryChecker;
import org.skylarkmast.bench.history.HistoryLog;
import org.skylarkmast.bench.history.HistoryRecord;
import org.skylarkmast.bench.history.Violation;

/**
 * Completes and checks a run whose faults have ended: reads all histories back, ends the programs,
 * collects the records of the targets and runs the {@link HistoryChecker}.
 */
public final class RunVerifier {
    private static final long AWAIT_TIMEOUT_MS = 60_000;
    private static final long POLL_INTERVAL_MS = 200;

    private final LocalCluster cluster;
    private final ClusterShape shape;
    private final CallerClient client;
    private final HistoryLog log;
    private final AnswerRule answerRule;

    /**
     * @param answerRule the rule by which the engine stand-ins answer
     */
    public RunVerifier(
            LocalCluster cluster,
            ClusterShape shape,
            CallerClient client,
            HistoryLog log,
            AnswerRule answerRule) {
        this.cluster = cluster;
        this.shape = shape;
        this.client = client;
        this.log = log;
        this.answerRule = answerRule;
    }

    /**
     * Completes the run and checks its history.
     *
     * @param releaseTimeoutMs maximum time to wait until the engines have released the cache of
     *     ended programs
     * @return the violations that the checker found
     * @throws IOException if a history cannot be read back, which is itself a failure
     */
    public List<Violation> verify(long releaseTimeoutMs) throws IOException {
        Set<String> programs = answeredPrograms();
        Set<String> ended = endedPrograms();
        for (String program : programs) {
            if (!ended.contains(rootOf(program))) {
                awaitHistory(program);
            }
        }
        for (String program : programs) {
            if (!program.contains("/")) {
                log.accept(
                        new HistoryRecord.BudgetLimit(
                                0, program, shape.budgetTokens(), shape.budgetServiceCalls()));
                if (!ended.contains(program)) {
                    endProgram(program);
                }
            }
        }
        Await.holds(releaseTimeoutMs, POLL_INTERVAL_MS, () -> cachedPrefixesOf(programs).isEmpty());
        cluster.recordRevisions();
        collectTargetRecords();
        return new HistoryChecker(answerRule, CheckerLimits.GUARANTEED).check(log.records());
    }

    /** Adds the targets' records of the run's programs to the history. */
    private void collectTargetRecords() throws IOException {
        Set<String> sent = new LinkedHashSet<>();
        for (HistoryRecord record : log.records()) {
            if (record instanceof HistoryRecord.CallerSent call) {
                sent.add(call.program());
            }
        }
        for (HistoryRecord record : cluster.targetRecords()) {
            boolean belongsToRun =
                    switch (record) {
                        case HistoryRecord.TargetCall saw -> sent.contains(saw.program());
                        case HistoryRecord.EngineCacheHeld held -> sent.contains(held.program());
                        default -> true;
                    };
            if (belongsToRun) {
                log.accept(record);
            }
        }
    }

    /** The programs with at least one answered request, including sub-agents. */
    private Set<String> answeredPrograms() {
        Set<String> answered = new LinkedHashSet<>();
        for (HistoryRecord record : log.records()) {
            if (record instanceof HistoryRecord.CallerAnswered answer && answer.succeeded()) {
                answered.add(answer.attempt());
            }
        }
        Set<String> programs = new LinkedHashSet<>();
        for (HistoryRecord record : log.records()) {
            if (record instanceof HistoryRecord.CallerSent sent
                    && answered.contains(sent.attempt())) {
                programs.add(sent.program());
            }
        }
        return programs;
    }

    /** The programs that were ended during the run; their histories have been deleted. */
    private Set<String> endedPrograms() {
        Set<String> ended = new LinkedHashSet<>();
        for (HistoryRecord record : log.records()) {
            if (record instanceof HistoryRecord.ProgramEnded end) {
                ended.add(end.program());
            }
        }
        return ended;
    }

    private static String rootOf(String program) {
        int slash = program.indexOf('/');
        return slash < 0 ? program : program.substring(0, slash);
    }

    private void awaitHistory(String program) throws IOException {
        Await.until(
                "history of " + program + " is readable",
                AWAIT_TIMEOUT_MS,
                POLL_INTERVAL_MS,
                () ->
                        client.readHistory(liveNode(program), workspace(program), id(program))
                                .isPresent());
    }

    private void endProgram(String program) throws IOException {
        Await.until(
                program + " is ended",
                AWAIT_TIMEOUT_MS,
                POLL_INTERVAL_MS,
                () -> client.end(liveNode(program), workspace(program), id(program)));
    }

    private Node liveNode(String program) {
        List<Node> alive = cluster.nodes().stream().filter(cluster::isAlive).toList();
        return alive.get(Math.floorMod(program.hashCode(), alive.size()));
    }

    private List<HistoryRecord.EngineCacheHeld> cachedPrefixesOf(Set<String> programs) {
        List<HistoryRecord.EngineCacheHeld> held = new ArrayList<>();
        try {
            for (var engine : cluster.engines()) {
                held.addAll(cluster.cacheHeldBy(engine));
            }
        } catch (IOException e) {
            return List.of(new HistoryRecord.EngineCacheHeld(0, "unreachable", ""));
        }
        held.removeIf(entry -> !programs.contains(entry.program()));
        return held;
    }

    private static String workspace(String program) {
        return program.substring(0, program.indexOf(':'));
    }

    private static String id(String program) {
        return program.substring(program.indexOf(':') + 1);
    }
}
