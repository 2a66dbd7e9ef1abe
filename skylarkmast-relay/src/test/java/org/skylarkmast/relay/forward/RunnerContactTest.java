package org.skylarkmast.relay.forward;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.relay.runner.Runner;

class RunnerContactTest {
    private static final Runner RUNNER =
            new Runner("r", "s", "127.0.0.1:1", "here", 4, "v1", false, 1);

    private long nowMs;
    private final RunnerContact contact =
            new RunnerContact(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), new PrometheusRegistry());

    private void refused() {
        contact.recordConnectFailure(RUNNER, new ConnectException("refused"), 0);
    }

    static Stream<Arguments> contacts() {
        return Stream.of(
                of("idle for long", false, test -> test.nowMs += 60_000),
                of(
                        "request waits after long idleness",
                        false,
                        test -> {
                            test.nowMs += 60_000;
                            test.contact.recordWaiting();
                            test.nowMs += 100;
                        }),
                of(
                        "request waits for long",
                        true,
                        test -> {
                            test.contact.recordWaiting();
                            test.nowMs += 300;
                        }),
                of(
                        "one runner is silent, another answers",
                        false,
                        test -> {
                            test.contact.recordWaiting();
                            test.nowMs += 900;
                            test.contact.recordAnswer();
                            test.nowMs += 100;
                        }),
                of(
                        "request was given up",
                        false,
                        test -> {
                            test.contact.recordWaiting();
                            test.contact.recordWaitEnded();
                            test.nowMs += 300;
                        }),
                of("connect refused", true, RunnerContactTest::refused),
                of(
                        "connect refused, open connections live on",
                        true,
                        test -> {
                            test.refused();
                            test.contact.recordConnected(true);
                            test.contact.recordAnswer();
                        }),
                of(
                        "connect refused, another runner accepted",
                        false,
                        test -> {
                            test.refused();
                            test.contact.recordConnected(false);
                        }));
    }

    private static Arguments of(String name, boolean expected, Consumer<RunnerContactTest> events) {
        return Arguments.of(name, expected, events);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("contacts")
    void suggestsCutOffByContactWithAllRunners(
            String name, boolean expected, Consumer<RunnerContactTest> events) {
        events.accept(this);
        assertThat(contact.suggestsCutOff()).isEqualTo(expected);
    }
}
