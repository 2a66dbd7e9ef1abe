package org.skylarkmast.dist.proof;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.skylarkmast.bench.caller.CallerClient;
import org.skylarkmast.bench.caller.CallerOutcome;
import org.skylarkmast.bench.caller.CallerRequest;
import org.skylarkmast.bench.caller.RetryingCaller;
import org.skylarkmast.bench.cluster.Await;
import org.skylarkmast.bench.cluster.ClusterShape;
import org.skylarkmast.bench.cluster.LocalCluster;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.cluster.Signal;
import org.skylarkmast.bench.history.HistoryLog;
import org.skylarkmast.bench.history.HistoryRecord;
import org.skylarkmast.bench.history.HistoryRecord.Kind;
import org.skylarkmast.bench.history.HistoryRecord.TargetCall;
import org.skylarkmast.bench.history.Violation;
import org.skylarkmast.bench.load.StandInAnswerRule;
import org.skylarkmast.bench.soak.RunVerifier;

/**
 * A scenario: sends requests, waits until targets receive them, and verifies the invariants on the
 * recorded history.
 */
final class ScenarioRun implements AutoCloseable {
    static final String WORKSPACE = "workshops";

    /** Long enough that only a hang exceeds it. */
    private static final long AWAIT_TIMEOUT_MS = 120_000;

    private static final long RELEASE_TIMEOUT_MS = 60_000;
    private static final long READ_TIMEOUT_MS = 45_000;
    private static final long POLL_INTERVAL_MS = 20;
    private static final int MAX_ATTEMPTS = 200;

    private final LocalCluster cluster;
    private final ClusterShape shape;
    private final String scenario;
    private final HistoryLog log;
    private final CallerClient client;
    private final AtomicInteger nextHost = new AtomicInteger();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

    ScenarioRun(LocalCluster cluster, ClusterShape shape, String scenario, Path directory)
            throws IOException {
        this.cluster = cluster;
        this.shape = shape;
        this.scenario = scenario.replaceAll("[^a-z0-9]+", "-");
        this.log = new HistoryLog(directory.resolve(this.scenario + ".jsonl"));
        this.client = new CallerClient(log, READ_TIMEOUT_MS);
    }

    Consumer<HistoryRecord> history() {
        return log;
    }

    LocalCluster cluster() {
        return cluster;
    }

    /** Returns a program id that is unique to this scenario. */
    String program(String name) {
        return scenario + "." + name;
    }

    /**
     * Creates a model call.
     *
     * @param tokens length of the answer, or 0 for the default length
     */
    static CallerRequest modelCall(String program, int turn, int tokens, boolean streamed) {
        String key = program.replace('/', '.') + ".t" + turn;
        String text = key + " the chain slips" + (tokens > 0 ? " tokens=" + tokens : "");
        return new CallerRequest(WORKSPACE, program, key, Kind.MODEL, true, text, streamed);
    }

    /** Creates a service call that is not repeatable. */
    static CallerRequest serviceCall(String program, int number) {
        String key = program.replace('/', '.') + ".o" + number;
        return new CallerRequest(WORKSPACE, program, key, Kind.SERVICE, false, key, false);
    }

    /** Sends a request once, through the host with that index. */
    CallerOutcome send(int host, CallerRequest request) {
        return client.send(cluster.nodes().get(host), request);
    }

    /** Sends a request through all hosts in turn until its outcome is final. */
    CallerOutcome sendWithRetries(CallerRequest request) {
        return new RetryingCaller(
                        client,
                        cluster.nodes(),
                        MAX_ATTEMPTS,
                        hosts -> Math.floorMod(nextHost.getAndIncrement(), hosts))
                .call(request);
    }

    /** Like {@link #sendWithRetries}, and asserts that the request succeeds. */
    CallerOutcome.Succeeded sendAndAssertSuccess(CallerRequest request) {
        CallerOutcome outcome = sendWithRetries(request);
        assertWithMessage(request.key()).that(outcome).isInstanceOf(CallerOutcome.Succeeded.class);
        return (CallerOutcome.Succeeded) outcome;
    }

    <T> Future<T> submit(Callable<T> task) {
        return executor.submit(task);
    }

    static <T> T awaitResult(Future<T> future) throws IOException {
        try {
            return future.get(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /** Ends a program through the host with that index; returns whether the host confirmed it. */
    boolean endProgram(int host, String program) {
        return client.end(cluster.nodes().get(host), WORKSPACE, program);
    }

    /** Ends a program through the hosts in turn until one confirms it. */
    void endUntilConfirmed(String program) throws IOException {
        Await.until(
                program + " is ended",
                AWAIT_TIMEOUT_MS,
                POLL_INTERVAL_MS,
                () ->
                        endProgram(
                                Math.floorMod(nextHost.getAndIncrement(), shape.nodes()), program));
    }

    /** Returns the node that owned the program when it returned {@code answer}. */
    Node owner(CallerOutcome.Succeeded answer) {
        return cluster.nodes().stream()
                .filter(node -> node.name().equals(answer.owner()))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the index of a host other than {@code node}. */
    int indexOfOtherHost(Node node) {
        return cluster.nodes().getFirst().equals(node) ? 1 : 0;
    }

    /** Waits until a target has started to execute the request. */
    void awaitTargetReceived(CallerRequest request) throws IOException {
        Await.until(
                request.key() + " received by a target",
                AWAIT_TIMEOUT_MS,
                POLL_INTERVAL_MS,
                () -> !targetRuns(request).isEmpty());
    }

    /** Returns the executions of a request on all targets. */
    List<TargetCall> targetRuns(CallerRequest request) {
        List<TargetCall> runs = new ArrayList<>();
        try {
            for (HistoryRecord record : cluster.targetRecords()) {
                if (record instanceof TargetCall saw
                        && saw.program().equals(request.programKey())
                        && saw.key().equals(request.key())) {
                    runs.add(saw);
                }
            }
        } catch (IOException e) {
            return List.of();
        }
        return runs;
    }

    /** Kills a node and waits until its process has ended. */
    void kill(Node node) throws IOException {
        cluster.signal(node.name(), Signal.KILL);
        cluster.awaitEnd(node, AWAIT_TIMEOUT_MS);
    }

    /** Pauses a node for three lease TTLs, so that other nodes can take over its partitions. */
    void pausePastLease(Node node) throws IOException {
        cluster.signal(node.name(), Signal.STOP);
        Await.pause(3 * shape.leaseTtlMs());
        cluster.signal(node.name(), Signal.CONT);
    }

    /** Shuts a node down gracefully and waits until its process has ended. */
    void shutDown(Node node) throws IOException {
        cluster.signal(node.name(), Signal.TERM);
        awaitShutDown(node);
    }

    void awaitShutDown(Node node) {
        assertWithMessage("%s has shut down", node.name())
                .that(cluster.awaitEnd(node, AWAIT_TIMEOUT_MS))
                .isTrue();
    }

    /** Restarts all nodes whose process has ended. */
    void restartEnded() throws IOException {
        for (Node node : cluster.nodes()) {
            if (!cluster.isAlive(node)) {
                cluster.restart(node);
            }
        }
    }

    /**
     * Asserts that the scenario violated no invariant, and that the engines released the memory of
     * ended programs.
     */
    void verifyInvariants() throws IOException {
        assertWithMessage(scenario).that(violations(RELEASE_TIMEOUT_MS)).isEmpty();
    }

    private List<Violation> violations(long releaseTimeoutMs) throws IOException {
        restartEnded();
        return new RunVerifier(cluster, shape, client, log, new StandInAnswerRule())
                .verify(releaseTimeoutMs);
    }

    @Override
    public void close() throws IOException {
        executor.shutdownNow();
        client.close();
        log.close();
    }
}
