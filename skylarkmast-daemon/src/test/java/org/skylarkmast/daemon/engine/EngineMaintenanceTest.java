package org.skylarkmast.daemon.engine;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.engine.ProgramLiveness;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.scheduling.SchedulingEvent;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import org.skylarkmast.standins.engine.EngineOptions;
import org.skylarkmast.standins.engine.EngineStandIn;
import org.skylarkmast.standins.store.ManualClock;

@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EngineMaintenanceTest {
    private static final long TIMEOUT_MS = 30_000;
    private static final long EVENT_TIMEOUT_S = 60;
    private static final ProgramKey PROGRAM = new ProgramKey("ws", "p/sub");

    private final HttpClient client = new HttpClient(4, 5_000);
    private final BlockingQueue<SchedulingEvent> events = new LinkedBlockingQueue<>();
    private final ManualClock clock = new ManualClock();
    private EngineStandIn engine;

    @BeforeEach
    void start() throws IOException {
        engine = startEngine(0);
    }

    @AfterEach
    void stop() {
        client.close();
        engine.close();
    }

    @Test
    void retriesAReleaseUntilTheEngineConfirmsIt() throws IOException {
        int port = engine.port();
        engine.close();
        CacheReleaser releaser = releaser(OptionalLong.of(3));
        releaser.release("e1", PROGRAM);
        releaser.sendDue();
        assertThat(releaser.pendingCount()).isEqualTo(1);
        engine = startEngine(port);
        completeCall(3);
        releaser.sendDue();
        assertThat(heldCaches()).contains("ws:p/sub");
        clock.advanceMs(1_000);
        releaser.sendDue();
        assertThat(heldCaches()).doesNotContain("ws:p/sub");
        assertThat(events).containsExactly(new SchedulingEvent.CacheReleased("e1", PROGRAM));
        assertThat(releaser.pendingCount()).isEqualTo(0);
    }

    @Test
    void abandonsAReleaseIfANewerOwnerExists() {
        completeCall(4);
        CacheReleaser stale = releaser(OptionalLong.of(3));
        CacheReleaser former = releaser(OptionalLong.empty());
        for (CacheReleaser releaser : List.of(stale, former)) {
            releaser.release("e1", PROGRAM);
            releaser.sendDue();
            assertThat(releaser.pendingCount()).isEqualTo(0);
        }
        assertThat(heldCaches()).contains("ws:p/sub");
        assertThat(events).isEmpty();
    }

    @Test
    void releasesACacheThatAKilledOwnerDidNotRelease() {
        completeCall(3);
        CacheReleaser releaser = releaser(OptionalLong.of(4));
        CacheReconciler reconciler =
                new CacheReconciler(
                        client, TIMEOUT_MS, key -> ProgramLiveness.GONE, releaser::release);
        reconciler.reconcile("e1", address());
        releaser.sendDue();
        assertThat(heldCaches()).contains("ws:p/sub");
        reconciler.reconcile("e1", address());
        releaser.sendDue();
        assertThat(heldCaches()).doesNotContain("ws:p/sub");
    }

    @Test
    void reportsLoadCacheEventsAndRestarts() throws IOException, InterruptedException {
        try (EngineFeed feed =
                new EngineFeed(
                        new EngineFeed.Timing(20, TIMEOUT_MS, TIMEOUT_MS),
                        client,
                        events::add,
                        clock)) {
            feed.onConfigurationChanged(configuration());
            awaitEvent(event -> event instanceof SchedulingEvent.LoadReported);
            completeCall(1);
            awaitEvent(event -> cacheReported(event, 1));
            int port = engine.port();
            engine.close();
            engine = startEngine(port);
            awaitEvent(event -> event.equals(new SchedulingEvent.RunnerRestarted("e1")));
            completeCall(1);
            awaitEvent(event -> cacheReported(event, 1));
            feed.onConfigurationChanged(Configuration.EMPTY);
        }
    }

    private void awaitEvent(Predicate<SchedulingEvent> condition) throws InterruptedException {
        SchedulingEvent event;
        do {
            event = events.poll(EVENT_TIMEOUT_S, TimeUnit.SECONDS);
            assertThat(event).isNotNull();
        } while (!condition.test(event));
    }

    private static boolean cacheReported(SchedulingEvent event, long sequence) {
        return event instanceof SchedulingEvent.CacheReported reported
                && reported.sequence() == sequence
                && reported.program().equals(PROGRAM);
    }

    private CacheReleaser releaser(OptionalLong epoch) {
        return new CacheReleaser(
                client,
                TIMEOUT_MS,
                runner -> Optional.of(address()),
                program -> epoch,
                events::add,
                clock);
    }

    private Configuration configuration() {
        Target target =
                new Target(
                        "engines",
                        Target.Kind.MODEL_ENGINE,
                        List.of("m"),
                        List.of(new Target.Runner("e1", address(), "a", 1)),
                        List.of(),
                        true,
                        false);
        return new Configuration(
                1, Map.of(), Map.of(), Map.of("engines", target), Map.of(), Map.of(), Map.of());
    }

    private void completeCall(long epoch) {
        byte[] body =
                "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"tokens=1\"}]}"
                        .getBytes(StandardCharsets.UTF_8);
        Map<String, String> headers =
                Map.of(
                        "Skylarkmast-Program", PROGRAM.toString(),
                        "Skylarkmast-Epoch", Long.toString(epoch));
        HttpOutcome outcome =
                client.send(
                        new ClientRequest(
                                address(),
                                "POST",
                                "/v1/chat/completions",
                                headers,
                                body,
                                TIMEOUT_MS,
                                true));
        assertThat(((HttpOutcome.Answered) outcome).text()).contains("[DONE]");
    }

    private String heldCaches() {
        ClientRequest get =
                new ClientRequest(
                        address(), "GET", "/cache", Map.of(), new byte[0], TIMEOUT_MS, true);
        return ((HttpOutcome.Answered) client.send(get)).text();
    }

    private String address() {
        return "127.0.0.1:" + engine.port();
    }

    /**
     * Starts an engine. Retries while the previous engine still occupies the port, since the kernel
     * frees a listening port only after the thread that is blocked in accept has run again.
     */
    private static EngineStandIn startEngine(int port) throws IOException {
        EngineOptions options =
                new EngineOptions("e1", "m", "v1", 1e6, 1e4, 1_000, 1, 1, true, Optional.empty());
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(EVENT_TIMEOUT_S);
        while (true) {
            try {
                return EngineStandIn.start(port, options);
            } catch (BindException e) {
                if (port == 0 || System.nanoTime() - deadlineNs >= 0) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }
}
