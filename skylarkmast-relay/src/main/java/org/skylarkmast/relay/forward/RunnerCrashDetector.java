package org.skylarkmast.relay.forward;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.skylarkmast.relay.runner.Runner;
import org.skylarkmast.relay.runner.RunnerPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells whether a runner ended under a request whose exchange broke; thread-safe.
 *
 * <p>A broken exchange alone proves nothing: links break, and nodes are cut off. The runner has
 * ended if its host refuses a new connection at once. A runner that drains, or whose registration
 * has ended, was about to leave and has not crashed.
 */
public final class RunnerCrashDetector {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerCrashDetector.class);

    private final RunnerPool pool;
    private final Predicate<Runner> refusesConnections;
    private final Counter crashes;

    /** Checks in progress, by incarnation: one connection answers for all broken exchanges. */
    private final Map<String, CompletableFuture<Boolean>> checks = new ConcurrentHashMap<>();

    /**
     * @param refusesConnections connects to a runner; whether its host refused the connection, as
     *     opposed to accepting it or not answering
     */
    public RunnerCrashDetector(
            RunnerPool pool, Predicate<Runner> refusesConnections, PrometheusRegistry registry) {
        this.pool = pool;
        this.refusesConnections = refusesConnections;
        crashes =
                Counter.builder()
                        .name("skylarkmast_runner_crashes_total")
                        .help("Broken exchanges after which the runner refused connections.")
                        .register(registry);
    }

    /** Whether {@code runner}, to which an exchange has just broken, has crashed. */
    boolean hasCrashed(Runner runner) {
        if (!pool.isAvailable(runner) || !refusesNow(runner)) {
            return false;
        }
        crashes.inc();
        return true;
    }

    private boolean refusesNow(Runner runner) {
        CompletableFuture<Boolean> check = new CompletableFuture<>();
        CompletableFuture<Boolean> inProgress = checks.putIfAbsent(runner.incarnation(), check);
        if (inProgress != null) {
            return inProgress.join();
        }
        boolean refused = false;
        try {
            refused = refusesConnections.test(runner);
            LOG.atInfo()
                    .addKeyValue("event", "broken_runner_checked")
                    .addKeyValue("runner", runner.incarnation())
                    .addKeyValue("refused", refused)
                    .log();
        } finally {
            checks.remove(runner.incarnation());
            check.complete(refused);
        }
        return refused;
    }
}
