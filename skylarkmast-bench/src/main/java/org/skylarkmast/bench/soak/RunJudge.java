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
 * Closes a run whose faults have ended: reads all histories back, ends the programs, collects what
 * targets recorded and judges.
 */
public final class RunJudge {
    private static final long PATIENCE_MS = 60_000;
    private static final long POLL_MS = 200;

    private final LocalCluster cluster;
    private final ClusterShape shape;
    private final CallerClient client;
    private final HistoryLog log;
    private final AnswerRule answerRule;

    /**
     * @param answerRule how the engine stand-ins answer
     */
    public RunJudge(
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
     * Closes the run.
     *
     * @param releasePatienceMs longest time to wait for engines to release ended programs
     * @return what the checker found
     * @throws IOException if a history cannot be read back, which is itself a failure
     */
    public List<Violation> judge(long releasePatienceMs) throws IOException {
        Set<String> programs = programs();
        Set<String> ended = ended();
        for (String program : programs) {
            if (!ended.contains(root(program))) {
                readBack(program);
            }
        }
        for (String program : programs) {
            if (!program.contains("/")) {
                log.accept(
                        new HistoryRecord.BudgetLimit(
                                0, program, shape.budgetTokens(), shape.budgetServiceCalls()));
                if (!ended.contains(program)) {
                    end(program);
                }
            }
        }
        Await.holds(releasePatienceMs, POLL_MS, () -> heldOf(programs).isEmpty());
        cluster.recordRevisions();
        collectTargets();
        return new HistoryChecker(answerRule, CheckerLimits.GUARANTEED).check(log.records());
    }

    /** Tells the history what targets recorded of the run's programs. */
    private void collectTargets() throws IOException {
        Set<String> sent = new LinkedHashSet<>();
        for (HistoryRecord record : log.records()) {
            if (record instanceof HistoryRecord.CallerSent call) {
                sent.add(call.program());
            }
        }
        for (HistoryRecord record : cluster.targetRecords()) {
            boolean own =
                    switch (record) {
                        case HistoryRecord.TargetCall saw -> sent.contains(saw.program());
                        case HistoryRecord.EngineCacheHeld held -> sent.contains(held.program());
                        default -> true;
                    };
            if (own) {
                log.accept(record);
            }
        }
    }

    /** The programs that had at least one request answered, sub-agents too. */
    private Set<String> programs() {
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

    /** The programs whose end the run itself has confirmed; their histories are gone. */
    private Set<String> ended() {
        Set<String> ended = new LinkedHashSet<>();
        for (HistoryRecord record : log.records()) {
            if (record instanceof HistoryRecord.ProgramEnded end) {
                ended.add(end.program());
            }
        }
        return ended;
    }

    private static String root(String program) {
        int slash = program.indexOf('/');
        return slash < 0 ? program : program.substring(0, slash);
    }

    private void readBack(String program) throws IOException {
        Await.until(
                "history of " + program + " is told",
                PATIENCE_MS,
                POLL_MS,
                () ->
                        client.readHistory(anyNode(program), workspace(program), id(program))
                                .isPresent());
    }

    private void end(String program) throws IOException {
        Await.until(
                program + " is ended",
                PATIENCE_MS,
                POLL_MS,
                () -> client.end(anyNode(program), workspace(program), id(program)));
    }

    private Node anyNode(String program) {
        List<Node> alive = cluster.nodes().stream().filter(cluster::isAlive).toList();
        return alive.get(Math.floorMod(program.hashCode(), alive.size()));
    }

    private List<HistoryRecord.EngineCacheHeld> heldOf(Set<String> programs) {
        List<HistoryRecord.EngineCacheHeld> held = new ArrayList<>();
        try {
            for (var engine : cluster.engines()) {
                held.addAll(cluster.cacheHeldBy(engine));
            }
        } catch (IOException e) {
            return List.of(new HistoryRecord.EngineCacheHeld(0, "unreachable", ""));
        }
        held.removeIf(one -> !programs.contains(one.program()));
        return held;
    }

    private static String workspace(String program) {
        return program.substring(0, program.indexOf(':'));
    }

    private static String id(String program) {
        return program.substring(program.indexOf(':') + 1);
    }
}
