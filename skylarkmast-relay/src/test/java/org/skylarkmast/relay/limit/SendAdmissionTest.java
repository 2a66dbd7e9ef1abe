package org.skylarkmast.relay.limit;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.relay.runner.Runner;

/** Tests the sends of several entry nodes to one runner, on a virtual clock. */
class SendAdmissionTest {
    private static final Runner RUNNER =
            new Runner("r", "s", "127.0.0.1:1", "here", 4, "v1", false, 1);
    private static final double LIMIT = 10;
    private static final double END_MS = 20_000;

    private long nowMs;

    private final SendRateLimiter fleet = new SendRateLimiter(this::nowNs, 2, () -> 0);

    private long nowNs() {
        return TimeUnit.MILLISECONDS.toNanos(nowMs);
    }

    private SendAdmission node(
            SendGrantClient storageNodes, IntSupplier entryNodes, Random random) {
        RunnerRateLimits limits = new RunnerRateLimits(this::nowNs);
        limits.record(RUNNER, new StatedRateLimit.Limited(LIMIT), "q");
        return new SendAdmission(
                limits,
                storageNodes,
                new SendRateLimiter(this::nowNs, 0, random::nextDouble),
                entryNodes,
                this::nowNs,
                new PrometheusRegistry());
    }

    private SendAdmission connectedNode() {
        return node(request -> Optional.of(fleet.decide(request)), () -> 1, new Random(1));
    }

    /** Sends ten times the limit, by node weights, and returns the sends per second. */
    private double sendsPerS(List<SendAdmission> nodes, List<Double> weights, Random random) {
        double total = weights.stream().mapToDouble(weight -> weight).sum();
        int sends = 0;
        for (nowMs = 0; nowMs < END_MS; nowMs += 10) {
            double sample = random.nextDouble() * total;
            int node = 0;
            while (sample >= weights.get(node)) {
                sample -= weights.get(node++);
            }
            if (nodes.get(node).admit(RUNNER, "q", 20) instanceof SendGrant.Granted) {
                sends++;
            }
        }
        return sends / (END_MS / 1000);
    }

    static Stream<Arguments> demands() {
        return Stream.of(
                Arguments.of("even", List.of(1.0, 1.0, 1.0, 1.0)),
                Arguments.of("uneven", List.of(8.0, 2.0, 1.0, 1.0)),
                Arguments.of("one node gets all callers", List.of(1.0, 0.0, 0.0, 0.0)));
    }

    /** The whole limit is used, however callers spread over the entry nodes. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("demands")
    void runnerGetsItsWholeLimit(String name, List<Double> weights) {
        List<SendAdmission> nodes = new ArrayList<>();
        weights.forEach(weight -> nodes.add(connectedNode()));
        double sendsPerS = sendsPerS(nodes, weights, new Random(7));
        assertThat(sendsPerS).isAtMost(LIMIT * 1.05);
        assertThat(sendsPerS).isAtLeast(LIMIT * 0.9);
    }

    /**
     * With up to half of the nodes cut off, the runner gets at most one and a half times as much.
     */
    @ParameterizedTest(name = "{0} of {1} entry nodes cut off")
    @CsvSource({"0, 6", "1, 6", "3, 6", "6, 6", "33, 67", "67, 67"})
    void entryNodesCutOffFromStorageNodesTakeTheirShare(int cutOff, int entryNodes) {
        List<SendAdmission> nodes = new ArrayList<>();
        List<Double> weights = new ArrayList<>();
        Random random = new Random(3);
        for (int i = 0; i < entryNodes; i++) {
            nodes.add(
                    i < cutOff
                            ? node(request -> Optional.empty(), () -> entryNodes, random)
                            : connectedNode());
            weights.add(1.0);
        }
        assertThat(sendsPerS(nodes, weights, random))
                .isAtMost(
                        LIMIT * (cutOff < entryNodes ? 1 : 0) + LIMIT * cutOff / entryNodes + 0.5);
    }

    @Test
    void nodeThatKnowsNoCountAssumesManyEntryNodes() {
        SendAdmission node = node(request -> Optional.empty(), () -> 0, new Random(1));
        assertThat(sendsPerS(List.of(node), List.of(1.0), new Random(1))).isAtMost(LIMIT / 50);
    }

    @Test
    void knownWaitIsDeniedWithoutACall() {
        List<SendRequest> calls = new ArrayList<>();
        SendAdmission node =
                node(
                        request -> {
                            calls.add(request);
                            return Optional.of(new SendGrant.Denied(500));
                        },
                        () -> 1,
                        new Random(1));
        assertThat(node.admit(RUNNER, "q", 20)).isEqualTo(new SendGrant.Denied(500));
        nowMs += 100;
        assertThat(node.admit(RUNNER, "q", 20)).isEqualTo(new SendGrant.Denied(400));
        assertThat(calls).hasSize(1);
        assertThat(node.expectedWaitMs(RUNNER)).isEqualTo(400);
    }

    static Stream<Arguments> unlimited() {
        return Stream.of(
                Arguments.of("withdrawn", new StatedRateLimit.Unlimited()),
                Arguments.of("too high to matter", new StatedRateLimit.Limited(1e15)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("unlimited")
    void unlimitedRunnerNeedsNoGrant(String name, StatedRateLimit stated) {
        SendAdmission node =
                node(request -> Optional.of(new SendGrant.Denied(500)), () -> 1, new Random(1));
        node.admit(RUNNER, "q", 0);
        node.limits().record(RUNNER, stated, "q");
        assertThat(node.admit(RUNNER, "q", 0)).isEqualTo(new SendGrant.Granted(0, 0));
        assertThat(node.expectedWaitMs(RUNNER)).isEqualTo(0);
    }
}
