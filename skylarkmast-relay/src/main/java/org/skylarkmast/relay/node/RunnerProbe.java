package org.skylarkmast.relay.node;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.ConnectException;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import org.skylarkmast.relay.forward.CrashWitnesses;
import org.skylarkmast.relay.forward.RunnerContact;
import org.skylarkmast.relay.forward.RunnerCrashDetector;
import org.skylarkmast.relay.http.RunnerConnection;
import org.skylarkmast.relay.runner.Runner;
import org.skylarkmast.relay.runner.RunnerDirectory;
import org.skylarkmast.relay.runner.RunnerPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connections to runners that carry no request; only whether they open is of interest. */
final class RunnerProbe {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerProbe.class);

    /** Maximum wait for a runner to accept a probe; connecting takes a few milliseconds. */
    private static final int PROBE_TIMEOUT_MS = 250;

    /**
     * Pause before runners are probed again after a broken exchange, if only some accepted: a cut
     * that has begun is complete by then.
     */
    private static final long CRASH_RECHECK_MS = 100;

    private RunnerProbe() {}

    /** Returns a detector of crashes that probes the runners of all services. */
    static RunnerCrashDetector crashDetector(
            RunnerPool pool,
            RunnerDirectory directory,
            RunnerContact contact,
            ExecutorService executor,
            PrometheusRegistry registry) {
        return new RunnerCrashDetector(
                pool,
                RunnerProbe::refuses,
                new CrashWitnesses(
                        () -> directory.all().stream().filter(pool::isAvailable).toList(),
                        runner -> accepts(runner, contact),
                        executor,
                        new Random()),
                () -> Thread.sleep(CRASH_RECHECK_MS),
                registry);
    }

    /** Whether {@code runner} accepts a connection; an accepted one is a sign of life. */
    static boolean accepts(Runner runner, RunnerContact contact) {
        try {
            RunnerConnection.open(runner.address(), PROBE_TIMEOUT_MS).abort();
            contact.recordAccepted();
            return true;
        } catch (IOException e) {
            LOG.atDebug()
                    .addKeyValue("event", "probe_failed")
                    .addKeyValue("runner", runner.id())
                    .addKeyValue("reason", e.getMessage())
                    .log();
            return false;
        }
    }

    /** Whether the host of {@code runner} refuses a connection, as after the end of a process. */
    static boolean refuses(Runner runner) {
        try {
            RunnerConnection.open(runner.address(), PROBE_TIMEOUT_MS).abort();
            return false;
        } catch (ConnectException e) {
            return true;
        } catch (IOException e) {
            LOG.atDebug()
                    .addKeyValue("event", "probe_failed")
                    .addKeyValue("runner", runner.id())
                    .addKeyValue("reason", e.getMessage())
                    .log();
            return false;
        }
    }
}
