package org.skylarkmast.relay.peer;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.relay.runner.Runner;

class RunnerReachabilityTest {
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final List<Runner> runners = new ArrayList<>();
    private final Set<String> accepting = ConcurrentHashMap.newKeySet();
    private final AtomicInteger probes = new AtomicInteger();
    private final AtomicInteger changes = new AtomicInteger();
    private boolean suspected;
    private long nowMs;

    private final RunnerReachability reachability =
            new RunnerReachability(
                    () -> runners,
                    () -> suspected,
                    runner -> {
                        probes.incrementAndGet();
                        return accepting.contains(runner.id());
                    },
                    changes::incrementAndGet,
                    executor,
                    () -> TimeUnit.MILLISECONDS.toNanos(nowMs),
                    new Random(1),
                    new PrometheusRegistry());

    @AfterEach
    void stop() {
        executor.shutdown();
    }

    private void register(String service, int count, boolean accepts) {
        for (int i = 0; i < count; i++) {
            String id = service + i;
            runners.add(new Runner(id, service, "127.0.0.1:1", "here", 4, "v1", false, 1));
            if (accepts) {
                accepting.add(id);
            }
        }
    }

    private void check() throws InterruptedException {
        nowMs += 1000;
        reachability.check();
    }

    static Stream<Arguments> fleets() {
        return Stream.of(
                Arguments.of("no runner accepts", 0, 6, 0, 6, true),
                Arguments.of("one service is down", 0, 5, 5, 0, false),
                Arguments.of("one runner is silent", 5, 1, 0, 0, false),
                Arguments.of("the only runner is down", 0, 1, 0, 0, true),
                Arguments.of("no runner is registered", 0, 0, 0, 0, false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("fleets")
    void isCutOffOnlyIfNoServiceHasARunnerThatAccepts(
            String name, int modelsUp, int modelsDown, int appsUp, int appsDown, boolean expected)
            throws InterruptedException {
        register("model-up", modelsUp, true);
        register("model", modelsDown, false);
        register("app-up", appsUp, true);
        register("app", appsDown, false);
        suspected = true;
        check();
        assertThat(reachability.isCutOff()).isEqualTo(expected);
        assertThat(changes.get()).isEqualTo(expected ? 1 : 0);
    }

    @Test
    void doesNotProbeWithoutSuspicion() throws InterruptedException {
        register("model", 4, false);
        for (int i = 0; i < 10; i++) {
            check();
        }
        assertThat(probes.get()).isEqualTo(0);
        assertThat(reachability.isCutOff()).isFalse();
    }

    @Test
    void regainsRunnersWithoutRequestsOfCallers() throws InterruptedException {
        register("model", 4, false);
        suspected = true;
        check();
        assertThat(reachability.isCutOff()).isTrue();
        suspected = false;
        check();
        assertThat(reachability.isCutOff()).isTrue();
        accepting.add("model2");
        check();
        assertThat(reachability.isCutOff()).isFalse();
        assertThat(changes.get()).isEqualTo(2);
    }

    @Test
    void probesFewRunnersAndPausesBetweenRounds() throws InterruptedException {
        register("model", 200, false);
        suspected = true;
        nowMs += 1000;
        for (int i = 0; i < 10; i++) {
            reachability.check();
            nowMs += 10;
        }
        assertThat(probes.get()).isEqualTo(6);
    }
}
