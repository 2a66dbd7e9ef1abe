package org.skylarkmast.standins.engine;

import java.util.Optional;
import tools.jackson.databind.JsonNode;

/** Applies orders and keeps the model, version and role that they select. Thread-safe. */
final class EngineOrders {
    private Assignment assignment;

    /** The loaded model and the role of the engine. */
    record Assignment(String model, String version, String role) {}

    EngineOrders(String model, String version) {
        this.assignment = new Assignment(model, version, "mixed");
    }

    synchronized Assignment assignment() {
        return assignment;
    }

    /**
     * Executes {@code order}; returns the previous assignment, or empty if the order is malformed.
     */
    synchronized Optional<Assignment> apply(JsonNode order) {
        Assignment previous = assignment;
        switch (order.path("order").asString("")) {
            case "load_model" ->
                    assignment =
                            new Assignment(
                                    order.path("model").asString(previous.model()),
                                    order.path("version").asString(previous.version()),
                                    previous.role());
            case "change_role" ->
                    assignment =
                            new Assignment(
                                    previous.model(),
                                    previous.version(),
                                    order.path("role").asString(previous.role()));
            default -> {
                return Optional.empty();
            }
        }
        return Optional.of(previous);
    }
}
