package org.skylarkmast.standins.engine;

import java.util.Optional;
import tools.jackson.databind.JsonNode;

/** What an engine was ordered to be; thread-safe. */
final class EngineOrders {
    private Loaded loaded;

    /** The loaded model and the engine's role. */
    record Loaded(String model, String version, String role) {}

    EngineOrders(String model, String version) {
        this.loaded = new Loaded(model, version, "mixed");
    }

    synchronized Loaded loaded() {
        return loaded;
    }

    /** Carries out {@code order}; returns what was loaded before, or empty if it is malformed. */
    synchronized Optional<Loaded> apply(JsonNode order) {
        Loaded before = loaded;
        switch (order.path("order").asString("")) {
            case "load_model" ->
                    loaded =
                            new Loaded(
                                    order.path("model").asString(before.model()),
                                    order.path("version").asString(before.version()),
                                    before.role());
            case "change_role" ->
                    loaded =
                            new Loaded(
                                    before.model(),
                                    before.version(),
                                    order.path("role").asString(before.role()));
            default -> {
                return Optional.empty();
            }
        }
        return Optional.of(before);
    }
}
