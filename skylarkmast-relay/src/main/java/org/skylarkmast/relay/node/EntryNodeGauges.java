package org.skylarkmast.relay.node;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.http.RunnerConnectionPool;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.limit.SendAdmission;
import org.skylarkmast.relay.quarantine.Quarantine;
import org.skylarkmast.relay.runner.RunnerPool;

/** The gauges of an entry node. */
record EntryNodeGauges(
        CallerServer callerServer,
        RunnerConnectionPool runnerConnections,
        SendAdmission admission,
        RunnerPool pool,
        LedgerClient ledger,
        Quarantine quarantine) {

    /** Registers the gauges. */
    void register(PrometheusRegistry registry) {
        PlacementMetrics.register(registry, pool);
        gauge(
                registry,
                "skylarkmast_caller_connections",
                "Open connections of callers.",
                callerServer::connectionCount);
        gauge(
                registry,
                "skylarkmast_runner_connections_opened",
                "Connections opened to runners.",
                runnerConnections::openedCount);
        gauge(
                registry,
                "skylarkmast_runners_limited",
                "Runners that state a rate limit to this node.",
                () -> admission.limits().limitedCount());
        gauge(
                registry,
                "skylarkmast_leaving_runners_remembered",
                "Runners that are remembered to be leaving by their answers.",
                pool::leavingCount);
        gauge(
                registry,
                "skylarkmast_open_settlements",
                "Settlements that no quorum of storage nodes has acknowledged.",
                ledger::outstandingSettlements);
        gauge(
                registry,
                "skylarkmast_crash_suspects",
                "Requests that were at a runner when it crashed.",
                quarantine::suspectCount);
        gauge(
                registry,
                "skylarkmast_quarantined_requests",
                "Requests that are not sent to runners because runners crashed under them.",
                quarantine::quarantinedCount);
    }

    private static void gauge(
            PrometheusRegistry registry, String name, String help, LongSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call((double) value.getAsLong()))
                .register(registry);
    }
}
