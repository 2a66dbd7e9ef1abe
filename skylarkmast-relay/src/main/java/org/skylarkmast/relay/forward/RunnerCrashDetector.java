package org.skylarkmast.relay.forward;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
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
 * ended if its host refuses a new connection at once while other runners accept one. If only some
 * of the others do, the node may be about to be cut off, or several runners ended at once; all are
 * connected to again after a pause. A runner that drains, or whose registration has ended, was
 * about to leave and has not crashed. Without any other runner a refusal is taken for a crash.
 */
public final class RunnerCrashDetector {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerCrashDetector.class);

    private final RunnerPool pool;
    private final Predicate<Runner> refusesConnections;
    private final CrashWitnesses witnesses;
    private final Pause pause;
    private final Counter crashes;
    private final Counter checksByVerdict;

    /** Checks in progress, by incarnation: one check answers for all broken exchanges. */
    private final Map<String, CompletableFuture<CrashVerdict>> checks = new ConcurrentHashMap<>();

    /** Waits before an undecided check is repeated. */
    @FunctionalInterface
    public interface Pause {
        /** Waits. */
        void await() throws InterruptedException;
    }

    /**
     * @param refusesConnections connects to a runner; whether its host refused the connection, as
     *     opposed to accepting it or not answering
     */
    public RunnerCrashDetector(
            RunnerPool pool,
            Predicate<Runner> refusesConnections,
            CrashWitnesses witnesses,
            Pause pause,
            PrometheusRegistry registry) {
        this.pool = pool;
        this.refusesConnections = refusesConnections;
        this.witnesses = witnesses;
        this.pause = pause;
        crashes =
                Counter.builder()
                        .name("skylarkmast_runner_crashes_total")
                        .help("Broken exchanges after which only their runner refused connections.")
                        .register(registry);
        checksByVerdict =
                Counter.builder()
                        .name("skylarkmast_runner_crash_checks_total")
                        .help("Checks of runners after a broken exchange, by verdict.")
                        .labelNames("verdict")
                        .register(registry);
    }

    /** Whether {@code runner}, to which an exchange has just broken, has crashed. */
    boolean hasCrashed(Runner runner) throws InterruptedException {
        if (!pool.isAvailable(runner)) {
            return false;
        }
        boolean crashed =
                switch (verdict(runner)) {
                    case CrashVerdict.Crashed found -> pool.isAvailable(runner);
                    case CrashVerdict.NotEnded notEnded -> false;
                    case CrashVerdict.CutOff cutOff -> false;
                    case CrashVerdict.Undecided undecided -> false;
                };
        if (crashed) {
            crashes.inc();
        }
        return crashed;
    }

    private CrashVerdict verdict(Runner runner) throws InterruptedException {
        CompletableFuture<CrashVerdict> check = new CompletableFuture<>();
        CompletableFuture<CrashVerdict> inProgress =
                checks.putIfAbsent(runner.incarnation(), check);
        if (inProgress != null) {
            return inProgress.join();
        }
        CrashVerdict verdict = new CrashVerdict.Undecided();
        try {
            verdict = check(runner);
        } finally {
            checks.remove(runner.incarnation());
            check.complete(verdict);
        }
        return verdict;
    }

    private CrashVerdict check(Runner runner) throws InterruptedException {
        boolean refused = refusesConnections.test(runner);
        // The witnesses come second: an acceptance after the refusal shows that the node was not
        // cut off from them when the runner refused.
        List<Runner> drawn = refused ? witnesses.draw(runner) : List.of();
        CrashWitnesses.Round round = witnesses.probe(drawn);
        CrashVerdict verdict = CrashVerdict.first(refused, round);
        boolean repeated = verdict instanceof CrashVerdict.Undecided;
        if (repeated) {
            pause.await();
            refused = refusesConnections.test(runner);
            round = witnesses.probe(drawn);
            verdict = CrashVerdict.second(refused, round);
        }
        checksByVerdict.labelValues(verdict.label()).inc();
        LOG.atInfo()
                .addKeyValue("event", "broken_runner_checked")
                .addKeyValue("runner", runner.incarnation())
                .addKeyValue("refused", refused)
                .addKeyValue("othersProbed", round.probed())
                .addKeyValue("othersAccepting", round.accepting())
                .addKeyValue("repeated", repeated)
                .addKeyValue("verdict", verdict.label())
                .log();
        return verdict;
    }
}
