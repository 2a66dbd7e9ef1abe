package org.skylarkmast.relay.peer;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.skylarkmast.relay.runner.Runner;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines whether this node is cut off from all runners; thread-safe.
 *
 * <p>A suspicion alone proves nothing: a runner may be silent, or all runners of a service may be
 * down. The node is cut off if several runners drawn from all services accept no connection, and
 * until one of them does. Probes open a connection and send nothing.
 */
public final class RunnerReachability {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerReachability.class);

    /**
     * Runners probed at once. With fewer, runners that crashed at the same time could be mistaken
     * for a cut.
     */
    private static final int PROBES = 6;

    /** Pause between rounds of probes. */
    private static final long PROBE_PAUSE_MS = 300;

    private final Supplier<List<Runner>> runners;
    private final BooleanSupplier suspected;
    private final Predicate<Runner> accepts;
    private final Runnable onChange;
    private final ExecutorService executor;
    private final LongSupplier clockNs;
    private final Random random;
    private final Counter probes;
    private volatile boolean cutOff;
    private boolean probing;
    private boolean hasProbed;
    private long lastRoundNs;
    private long cutOffSinceNs;

    /**
     * @param runners returns the registered runners of all services
     * @param suspected whether the contact with runners suggests a cut
     * @param accepts connects to a runner; whether it accepted the connection in time
     * @param onChange runs after the node was cut off, or is no more
     * @param executor runs probes concurrently
     * @param clockNs monotonic clock, in ns
     */
    public RunnerReachability(
            Supplier<List<Runner>> runners,
            BooleanSupplier suspected,
            Predicate<Runner> accepts,
            Runnable onChange,
            ExecutorService executor,
            LongSupplier clockNs,
            Random random,
            PrometheusRegistry registry) {
        this.runners = runners;
        this.suspected = suspected;
        this.accepts = accepts;
        this.onChange = onChange;
        this.executor = executor;
        this.clockNs = clockNs;
        this.random = random;
        probes =
                Counter.builder()
                        .name("skylarkmast_reachability_probes_total")
                        .help("Connections opened to learn whether this node reaches runners.")
                        .labelNames("outcome")
                        .register(registry);
        GaugeWithCallback.builder()
                .name("skylarkmast_cut_off_from_runners")
                .help("Whether this node reaches no runner.")
                .callback(callback -> callback.call(cutOff ? 1 : 0))
                .register(registry);
    }

    /** Whether this node reaches no runner. */
    public boolean isCutOff() {
        return cutOff;
    }

    /**
     * Probes runners if the node is cut off or may be; called several times a second. Returns once
     * the round has ended, or at once if none is due.
     */
    public void check() throws InterruptedException {
        if (!beginRound()) {
            return;
        }
        try {
            List<Runner> probed = draw();
            if (!probed.isEmpty()) {
                conclude(probed, countAccepting(probed));
            }
        } finally {
            synchronized (this) {
                probing = false;
                lastRoundNs = clockNs.getAsLong();
            }
        }
    }

    private synchronized boolean beginRound() {
        boolean paused =
                hasProbed
                        && clockNs.getAsLong() - lastRoundNs
                                < TimeUnit.MILLISECONDS.toNanos(PROBE_PAUSE_MS);
        if (probing || paused || !(cutOff || suspected.getAsBoolean())) {
            return false;
        }
        probing = true;
        hasProbed = true;
        return true;
    }

    private List<Runner> draw() {
        List<Runner> drawn = new ArrayList<>(runners.get());
        Collections.shuffle(drawn, random);
        return drawn.subList(0, Math.min(PROBES, drawn.size()));
    }

    private int countAccepting(List<Runner> probed) throws InterruptedException {
        List<Callable<Boolean>> connects = new ArrayList<>();
        for (Runner runner : probed) {
            connects.add(() -> accepts.test(runner));
        }
        int accepting = 0;
        for (Future<Boolean> connect : executor.invokeAll(connects)) {
            try {
                accepting += connect.get() ? 1 : 0;
            } catch (ExecutionException e) {
                throw new IllegalStateException("probe of a runner failed", e.getCause());
            }
        }
        probes.labelValues("accepted").inc(accepting);
        probes.labelValues("failed").inc(probed.size() - accepting);
        return accepting;
    }

    private void conclude(List<Runner> probed, int accepting) {
        boolean wasCutOff = cutOff;
        cutOff = accepting == 0;
        long nowNs = clockNs.getAsLong();
        if (cutOff && !wasCutOff) {
            cutOffSinceNs = nowNs;
            LOG.atWarn()
                    .addKeyValue("event", "runners_lost")
                    .addKeyValue("probed", probed.stream().map(Runner::id).toList())
                    .log();
        } else if (wasCutOff && !cutOff) {
            LOG.atWarn()
                    .addKeyValue("event", "runners_regained")
                    .addKeyValue("accepting", accepting)
                    .addKeyValue("lostMs", TimeUnit.NANOSECONDS.toMillis(nowNs - cutOffSinceNs))
                    .log();
        }
        if (cutOff != wasCutOff) {
            onChange.run();
        }
    }
}
