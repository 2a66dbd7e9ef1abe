package org.skylarkmast.relay.node;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.skylarkmast.relay.runner.AffinityChooser;
import org.skylarkmast.relay.runner.MemoryBound;
import org.skylarkmast.relay.runner.RunnerPool;

/** Metrics of the choice of runners. */
final class PlacementMetrics {
    private PlacementMetrics() {}

    /** Registers the metrics of {@code pool}. */
    static void register(PrometheusRegistry registry, RunnerPool pool) {
        AffinityChooser affinity = pool.affinity();
        CounterWithCallback.builder()
                .name("skylarkmast_affinity_choices_total")
                .help("Choices for requests about an object, by place in the object's order.")
                .labelNames("place")
                .callback(
                        callback -> {
                            callback.call((double) affinity.firstCount(), "first");
                            callback.call((double) affinity.nextCount(), "next");
                            callback.call((double) affinity.noneCount(), "none");
                        })
                .register(registry);
        MemoryBound memoryBound = pool.memoryBound();
        CounterWithCallback.builder()
                .name("skylarkmast_memory_bound_choices_total")
                .help("Choices for which runners had no room for the request's tokens.")
                .labelNames("runners")
                .callback(
                        callback -> {
                            callback.call((double) memoryBound.sparedCount(), "some");
                            callback.call((double) memoryBound.exceededCount(), "all");
                        })
                .register(registry);
        GaugeWithCallback.builder()
                .name("skylarkmast_learned_prefill_tokens_per_second")
                .help("Prompt tokens that engines are assumed to process in a second.")
                .labelNames("service")
                .callback(
                        callback ->
                                pool.engineSpeeds()
                                        .forEach(
                                                (service, speed) ->
                                                        callback.call(
                                                                speed.prefillTokensPerMs() * 1000,
                                                                service)))
                .register(registry);
    }
}
