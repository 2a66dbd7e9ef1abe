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
import org.skylarkmast.bench.history.HistoryRecord.TargetSaw;
import org.skylarkmast.bench.history.Violation;
import org.skylarkmast.bench.load.StandInAnswerRule;
import org.skylarkmast.bench.soak.RunVerifier;

/** One scenario: sends, waits for what targets see, and judges at the end. */
final class ProofRun implements AutoCloseable {
    static final String WORKSPACE = "workshops";

    /** Generous: only a hang reaches it. */
    private static final long PATIENCE_MS = 120_000;

    private static final long RELEASE_PATIENCE_MS = 60_000;
    private static final long SILENCE_TIMEOUT_MS = 45_000;
    private static final long POLL_MS = 20;
    private static final int MAX_ATTEMPTS = 200;

    private final LocalCluster cluster;
    private final ClusterShape shape;
    private final String scenario;
    private final HistoryLog log;
    private final CallerClient client;
    private final AtomicInteger nextHost = new AtomicInteger();
    private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();

    ProofRun(LocalCluster cluster, ClusterShape shape, String scenario, Path folder)
            throws IOException {
        this.cluster = cluster;
        this.shape = shape;
        this.scenario = scenario.replaceAll("[^a-z0-9]+", "-");
        this.log = new HistoryLog(folder.resolve(this.scenario + ".jsonl"));
        this.client = new CallerClient(log, SILENCE_TIMEOUT_MS);
    }

    Consumer<HistoryRecord> history() {
        return log;
    }

    LocalCluster cluster() {
        return cluster;
    }

    /** A program id that no other scenario uses. */
    String program(String name) {
        return scenario + "." + name;
    }

    /** A model call; {@code tokens} long if above 0. */
    static CallerRequest turn(String program, int turn, int tokens, boolean streamed) {
        String key = program.replace('/', '.') + ".t" + turn;
        String text = key + " the chain slips" + (tokens > 0 ? " tokens=" + tokens : "");
        return new CallerRequest(WORKSPACE, program, key, Kind.MODEL, true, text, streamed);
    }

    /** A service call that may not be repeated. */
    static CallerRequest order(String program, int order) {
        String key = program.replace('/', '.') + ".o" + order;
        return new CallerRequest(WORKSPACE, program, key, Kind.SERVICE, false, key, false);
    }

    /** Sends once, by the host of that index. */
    CallerOutcome send(int host, CallerRequest request) {
        return client.send(cluster.nodes().get(host), request);
    }

    /** Sends until there is a lasting outcome, by all hosts in turn. */
    CallerOutcome ask(CallerRequest request) {
        return new RetryingCaller(
                        client,
                        cluster.nodes(),
                        MAX_ATTEMPTS,
                        hosts -> Math.floorMod(nextHost.getAndIncrement(), hosts))
                .call(request);
    }

    /** Like {@link #ask}, and the request must succeed. */
    CallerOutcome.Succeeded askWhole(CallerRequest request) {
        CallerOutcome outcome = ask(request);
        assertWithMessage(request.key()).that(outcome).isInstanceOf(CallerOutcome.Succeeded.class);
        return (CallerOutcome.Succeeded) outcome;
    }

    <T> Future<T> beside(Callable<T> task) {
        return callers.submit(task);
    }

    static <T> T outcome(Future<T> future) throws IOException {
        try {
            return future.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /** Ends a program by the host of that index. */
    boolean end(int host, String program) {
        return client.end(cluster.nodes().get(host), WORKSPACE, program);
    }

    /** Ends a program by any host that confirms it. */
    void endWhole(String program) throws IOException {
        Await.until(
                program + " is ended",
                PATIENCE_MS,
                POLL_MS,
                () -> end(Math.floorMod(nextHost.getAndIncrement(), shape.nodes()), program));
    }

    /** The node that owned the program when it gave {@code answer}. */
    Node owner(CallerOutcome.Succeeded answer) {
        return cluster.nodes().stream()
                .filter(node -> node.name().equals(answer.owner()))
                .findFirst()
                .orElseThrow();
    }

    /** The index of a host that is not {@code node}. */
    int otherThan(Node node) {
        return cluster.nodes().getFirst().equals(node) ? 1 : 0;
    }

    /** Waits until a target has begun to run the request. */
    void awaitSeen(CallerRequest request) throws IOException {
        Await.until(
                request.key() + " seen by a target",
                PATIENCE_MS,
                POLL_MS,
                () -> !runs(request).isEmpty());
    }

    /** The runs of a request over all targets. */
    List<TargetSaw> runs(CallerRequest request) {
        List<TargetSaw> runs = new ArrayList<>();
        try {
            for (HistoryRecord record : cluster.targetRecords()) {
                if (record instanceof TargetSaw saw
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

    /** Kills a node at once. */
    void kill(Node node) throws IOException {
        cluster.signal(node.name(), Signal.KILL);
        cluster.awaitEnd(node, PATIENCE_MS);
    }

    /** Pauses a node until others had time to take over from it. */
    void pausePastLease(Node node) throws IOException {
        cluster.signal(node.name(), Signal.STOP);
        Await.pause(3 * shape.leaseTtlMs());
        cluster.signal(node.name(), Signal.CONT);
    }

    /** Shuts a node down gracefully and waits for its end. */
    void shutDown(Node node) throws IOException {
        cluster.signal(node.name(), Signal.TERM);
        awaitShutDown(node);
    }

    void awaitShutDown(Node node) {
        assertWithMessage("%s has shut down", node.name())
                .that(cluster.awaitEnd(node, PATIENCE_MS))
                .isTrue();
    }

    /** Starts all nodes that have ended. */
    void restartEnded() throws IOException {
        for (Node node : cluster.nodes()) {
            if (!cluster.alive(node)) {
                cluster.restart(node);
            }
        }
    }

    /** Judges the scenario by all rules; engines must have released what ended programs held. */
    void judge() throws IOException {
        assertWithMessage(scenario).that(violations(RELEASE_PATIENCE_MS)).isEmpty();
    }

    private List<Violation> violations(long releasePatienceMs) throws IOException {
        restartEnded();
        return new RunVerifier(cluster, shape, client, log, new StandInAnswerRule())
                .verify(releasePatienceMs);
    }

    @Override
    public void close() throws IOException {
        callers.shutdownNow();
        client.close();
        log.close();
    }
}
