package org.skylarkmast.relay.warmup;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.forward.WireDialect;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Serves requests of its own while an entry node is idle, so that the classes of the request path
 * are loaded and its methods compiled before the first caller arrives.
 *
 * <p>The requests go to a {@link WarmUpNode}: nothing is sent to runners, callers, storage nodes or
 * the store, and nothing remains in the real node's metrics, reports or statistics.
 */
public final class WarmUp {
    private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);

    /** Pause between checks whether the node is ready, which it is about 100 ms after its start. */
    private static final long READY_POLL_MS = 50;

    private final WarmUpTraffic traffic;
    private final WireDialect dialect;
    private final WarmUpRule rule;
    private final BooleanSupplier ready;
    private final BooleanSupplier workWaits;
    private final LongSupplier processorMs;
    private final LongSupplier clockNs;
    private int rounds;
    private int requests;

    /**
     * @param ready whether the node is ready; the warm-up begins only then
     * @param workWaits whether a caller or another entry node is connected to the node
     * @param processorMs processor time of this process, in ms
     * @param clockNs monotonic clock, in ns
     */
    public WarmUp(
            WarmUpTraffic traffic,
            WireDialect dialect,
            WarmUpLimits limits,
            BooleanSupplier ready,
            BooleanSupplier workWaits,
            LongSupplier processorMs,
            LongSupplier clockNs) {
        this.traffic = traffic;
        this.dialect = dialect;
        this.rule = new WarmUpRule(limits);
        this.ready = ready;
        this.workWaits = workWaits;
        this.processorMs = processorMs;
        this.clockNs = clockNs;
    }

    /** Returns the processor time of this process, in ms; 0 where the system does not tell. */
    public static long processProcessorMs() {
        return ProcessHandle.current().info().totalCpuDuration().map(d -> d.toMillis()).orElse(0L);
    }

    /** Starts the warm-up on a thread of its own, which ends with it. */
    public Thread start() {
        return Thread.ofPlatform().name("warm-up").daemon().start(this::run);
    }

    /** Runs the warm-up on the calling thread; returns why it ended. */
    WarmUpEnd run() {
        long beganNs = clockNs.getAsLong();
        long beganProcessorMs = processorMs.getAsLong();
        WarmUpEnd end;
        Exception failure = null;
        try {
            Optional<WarmUpEnd> givenUp = awaitReady(beganNs);
            beganNs = clockNs.getAsLong();
            beganProcessorMs = processorMs.getAsLong();
            end = givenUp.isPresent() ? givenUp.get() : exercise(beganNs, beganProcessorMs);
        } catch (IOException | RuntimeException e) {
            end = WarmUpEnd.FAILED;
            failure = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            end = WarmUpEnd.NOT_READY;
        }
        LoggingEventBuilder line = failure == null ? LOG.atInfo() : LOG.atWarn().setCause(failure);
        line.addKeyValue("event", "warm_up_ended")
                .addKeyValue("reason", end.text())
                .addKeyValue("requests", requests)
                .addKeyValue("rounds", rounds)
                .addKeyValue("processorMs", processorMs.getAsLong() - beganProcessorMs)
                .addKeyValue("tookMs", elapsedMs(beganNs))
                .log();
        return end;
    }

    private Optional<WarmUpEnd> awaitReady(long beganNs) throws InterruptedException {
        while (!ready.getAsBoolean()) {
            Optional<WarmUpEnd> givenUp =
                    rule.decideWhileNotReady(elapsedMs(beganNs), workWaits.getAsBoolean());
            if (givenUp.isPresent()) {
                return givenUp;
            }
            Thread.sleep(READY_POLL_MS);
        }
        return Optional.empty();
    }

    private WarmUpEnd exercise(long beganNs, long beganProcessorMs) throws IOException {
        try (var _ = WarmUpScope.open();
                WarmUpNode node = new WarmUpNode(traffic, dialect)) {
            while (true) {
                for (WarmUpTraffic.Request request : traffic.round(rounds)) {
                    Optional<WarmUpEnd> end = decide(beganNs, beganProcessorMs);
                    if (end.isPresent()) {
                        return end.get();
                    }
                    node.send(request);
                    requests++;
                }
                node.disconnect();
                rounds++;
            }
        }
    }

    private Optional<WarmUpEnd> decide(long beganNs, long beganProcessorMs) {
        return rule.decide(
                new WarmUpRule.Progress(
                        rounds,
                        processorMs.getAsLong() - beganProcessorMs,
                        elapsedMs(beganNs),
                        workWaits.getAsBoolean(),
                        ready.getAsBoolean()));
    }

    private long elapsedMs(long sinceNs) {
        return TimeUnit.NANOSECONDS.toMillis(clockNs.getAsLong() - sinceNs);
    }
}
