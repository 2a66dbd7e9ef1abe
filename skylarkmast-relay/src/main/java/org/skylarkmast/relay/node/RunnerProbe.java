package org.skylarkmast.relay.node;

import java.io.IOException;
import java.net.ConnectException;
import org.skylarkmast.relay.forward.RunnerContact;
import org.skylarkmast.relay.http.RunnerConnection;
import org.skylarkmast.relay.runner.Runner;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connections to runners that carry no request; only whether they open is of interest. */
final class RunnerProbe {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerProbe.class);

    /** Maximum wait for a runner to accept a probe; connecting takes a few milliseconds. */
    private static final int PROBE_TIMEOUT_MS = 250;

    private RunnerProbe() {}

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
