package org.skylarkmast.core.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkmast.core.config.Model;

/**
 * Decides which order an engine needs so that it serves what is declared.
 *
 * <p>State: per engine the highest epoch it refused an order under. Not thread-safe.
 */
public final class OrderTracker {
    private final Map<String, Long> refusedBelow = new HashMap<>();

    /** What an engine has loaded. */
    public record Loaded(String model, String version) {}

    /** Tells an engine to load a model's version, under its sender's epoch. */
    public record LoadOrder(String model, String version, long epoch) {}

    /**
     * The order that {@code runner} needs now, if any.
     *
     * <p>An engine that ignores epochs may follow a former owner's late order; as this is asked
     * again and again, it is then brought back.
     *
     * @param declared models of the engine's target; an engine that serves another one is told to
     *     load the first
     * @param epoch epoch under which this node gives orders to the target
     */
    public Optional<LoadOrder> due(String runner, Loaded loaded, List<Model> declared, long epoch) {
        if (declared.isEmpty() || epoch < refusedBelow.getOrDefault(runner, Long.MIN_VALUE)) {
            return Optional.empty();
        }
        Model wanted =
                declared.stream()
                        .filter(model -> model.name().equals(loaded.model()))
                        .findFirst()
                        .orElse(declared.getFirst());
        boolean right =
                wanted.name().equals(loaded.model()) && wanted.version().equals(loaded.version());
        return right
                ? Optional.empty()
                : Optional.of(new LoadOrder(wanted.name(), wanted.version(), epoch));
    }

    /**
     * An engine refused an order since it has seen {@code highestEpoch}; a newer owner is at work.
     */
    public void refused(String runner, long highestEpoch) {
        refusedBelow.merge(runner, highestEpoch, Math::max);
    }
}
