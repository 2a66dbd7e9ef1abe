package org.skylarkmast.core.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkmast.core.config.Model;

/**
 * Decides which load order an engine needs in order to serve the declared model version.
 *
 * <p>State: for each engine, the highest epoch that it reported when it refused an order. Not
 * thread-safe.
 */
public final class OrderTracker {
    private final Map<String, Long> minEpochByRunner = new HashMap<>();

    /** The model version that an engine has loaded. */
    public record Loaded(String model, String version) {}

    /** An order to load a model version, sent under the epoch of the sender. */
    public record LoadOrder(String model, String version, long epoch) {}

    /**
     * Returns the order that {@code runner} needs now, if any.
     *
     * <p>An engine that ignores epochs may execute a delayed order of a former owner. Since this
     * method is called periodically, such an engine is then ordered to load the declared version
     * again.
     *
     * @param declared models of the engine's target; an engine that serves none of them is ordered
     *     to load the first
     * @param epoch epoch under which this node sends orders to the target
     */
    public Optional<LoadOrder> due(String runner, Loaded loaded, List<Model> declared, long epoch) {
        if (declared.isEmpty() || epoch < minEpochByRunner.getOrDefault(runner, Long.MIN_VALUE)) {
            return Optional.empty();
        }
        Model desired =
                declared.stream()
                        .filter(model -> model.name().equals(loaded.model()))
                        .findFirst()
                        .orElse(declared.getFirst());
        boolean upToDate =
                desired.name().equals(loaded.model()) && desired.version().equals(loaded.version());
        return upToDate
                ? Optional.empty()
                : Optional.of(new LoadOrder(desired.name(), desired.version(), epoch));
    }

    /**
     * Records that an engine refused an order because it has received {@code highestEpoch}, so that
     * a newer owner exists.
     */
    public void refused(String runner, long highestEpoch) {
        minEpochByRunner.merge(runner, highestEpoch, Math::max);
    }
}
