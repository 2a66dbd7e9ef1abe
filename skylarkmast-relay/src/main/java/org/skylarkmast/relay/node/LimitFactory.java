package org.skylarkmast.relay.node;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.skylarkmast.relay.limit.QuotaAdmission;
import org.skylarkmast.relay.limit.RunnerRateLimits;
import org.skylarkmast.relay.limit.SendAdmission;
import org.skylarkmast.relay.limit.SendRateLimiter;
import org.skylarkmast.relay.limit.StorageNodeGrantClient;
import org.skylarkmast.relay.limit.StorageNodeLeaseClient;

/**
 * Creates an entry node's part in the limits that hold for all entry nodes together.
 *
 * @param views returns the view in force
 * @param entryNodes number of entry nodes last known, 0 if unknown
 * @param executor runs calls to storage nodes
 */
record LimitFactory(
        RelaySettings settings,
        Supplier<LedgerView> views,
        StorageNodeClient storageNodes,
        IntSupplier entryNodes,
        Executor executor,
        PrometheusRegistry registry) {

    /** Creates what admits sends by the rate limits of runners. */
    SendAdmission sendAdmission() {
        return new SendAdmission(
                new RunnerRateLimits(System::nanoTime),
                new StorageNodeGrantClient(views, storageNodes, System::nanoTime),
                new SendRateLimiter(
                        System::nanoTime, 0, () -> ThreadLocalRandom.current().nextDouble()),
                entryNodes,
                System::nanoTime,
                registry);
    }

    /** Creates what admits requests by the allowances of workspaces. */
    QuotaAdmission quotaAdmission() {
        return new QuotaAdmission(
                settings.node(),
                settings.workspaces().tolerance(),
                views,
                new StorageNodeLeaseClient(storageNodes, System::nanoTime),
                entryNodes,
                executor,
                System::nanoTime,
                () -> ThreadLocalRandom.current().nextDouble(),
                registry);
    }
}
