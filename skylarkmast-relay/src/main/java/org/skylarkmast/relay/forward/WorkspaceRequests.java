package org.skylarkmast.relay.forward;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the admitted requests of each workspace and shows a bounded number of them; thread-safe.
 */
final class WorkspaceRequests {

    /** Workspaces that have a series of their own; a deployment has up to 87, a few are large. */
    private static final int MAX_SERIES = 20;

    /** Bounds the memory for workspaces that were removed long ago. */
    private static final int MAX_COUNTED = 1000;

    /** Label of the requests of all other workspaces. */
    private static final String OTHER = "other";

    private final Map<String, LongAdder> requests = new ConcurrentHashMap<>();
    private final LongAdder uncounted = new LongAdder();

    WorkspaceRequests(PrometheusRegistry registry) {
        // A gauge, since the sum of the others falls when a workspace gets a series of its own.
        GaugeWithCallback.builder()
                .name("skylarkmast_workspace_requests")
                .help("Admitted requests since the start of the 20 largest workspaces and others.")
                .labelNames("workspace")
                .callback(this::show)
                .register(registry);
    }

    /** Counts an admitted request. */
    void count(String workspace) {
        LongAdder counted = requests.get(workspace);
        if (counted == null && requests.size() < MAX_COUNTED && !workspace.equals(OTHER)) {
            counted = requests.computeIfAbsent(workspace, _ -> new LongAdder());
        }
        (counted == null ? uncounted : counted).increment();
    }

    private void show(GaugeWithCallback.Callback callback) {
        List<Map.Entry<String, Long>> byCount =
                requests.entrySet().stream()
                        .map(entry -> Map.entry(entry.getKey(), entry.getValue().sum()))
                        .sorted(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder()))
                        .toList();
        int shown = Math.min(MAX_SERIES, byCount.size());
        byCount.subList(0, shown)
                .forEach(entry -> callback.call((double) entry.getValue(), entry.getKey()));
        long others = uncounted.sum();
        for (Map.Entry<String, Long> entry : byCount.subList(shown, byCount.size())) {
            others += entry.getValue();
        }
        callback.call((double) others, OTHER);
    }
}
