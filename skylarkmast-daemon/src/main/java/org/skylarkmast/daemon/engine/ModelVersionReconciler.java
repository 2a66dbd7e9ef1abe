package org.skylarkmast.daemon.engine;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Model;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.engine.OrderTracker;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;

/**
 * Orders engines to load the declared versions of their models.
 *
 * <p>One node at a time sends orders to a target: the owner of the target's partition, under the
 * epoch of that partition. An engine that checks epochs refuses the orders of a former owner. An
 * engine that does not may execute a delayed order of a former owner; the next check corrects this.
 * Thread-safe.
 */
public final class ModelVersionReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(ModelVersionReconciler.class);
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private final HttpClient client;
    private final long timeoutMs;
    private final Function<String, OptionalLong> epochOfTarget;
    private final OrderTracker tracker = new OrderTracker();

    /**
     * Creates a reconciler for the targets that this node is responsible for.
     *
     * @param timeoutMs longest time without data from an engine
     * @param epochOfTarget epoch under which this node sends orders to a target; empty if another
     *     node does
     */
    public ModelVersionReconciler(
            HttpClient client, long timeoutMs, Function<String, OptionalLong> epochOfTarget) {
        this.client = client;
        this.timeoutMs = timeoutMs;
        this.epochOfTarget = epochOfTarget;
    }

    /** Checks all engines and sends the orders they need; to be called every few seconds. */
    public synchronized void reconcile(Configuration configuration) {
        for (Target target : configuration.targets().values()) {
            if (target.kind() == Target.Kind.MODEL_ENGINE) {
                List<Model> declared =
                        target.models().stream()
                                .map(configuration.models()::get)
                                .filter(model -> model != null)
                                .toList();
                target.runners().forEach(runner -> reconcile(target.name(), runner, declared));
            }
        }
    }

    private void reconcile(String target, Target.Runner runner, List<Model> declared) {
        if (epochOfTarget.apply(target).isEmpty()) {
            return;
        }
        Optional<OrderTracker.Loaded> loaded = readLoaded(runner.address());
        // Read again immediately before sending, as ownership may have changed meanwhile.
        OptionalLong epoch = epochOfTarget.apply(target);
        if (loaded.isPresent() && epoch.isPresent()) {
            tracker.due(runner.name(), loaded.get(), declared, epoch.getAsLong())
                    .ifPresent(order -> sendOrder(runner, order));
        }
    }

    private Optional<OrderTracker.Loaded> readLoaded(String address) {
        HttpOutcome outcome = client.send(ClientRequest.get(address, "/orders", timeoutMs));
        if (!(outcome instanceof HttpOutcome.Answered answered) || answered.status() != OK) {
            return Optional.empty();
        }
        return parseBody(answered)
                .map(
                        state ->
                                new OrderTracker.Loaded(
                                        state.path("model").asString(""),
                                        state.path("version").asString("")));
    }

    private void sendOrder(Target.Runner runner, OrderTracker.LoadOrder order) {
        byte[] body =
                JsonUtil.toBytes(
                        Map.of(
                                "order", "load_model",
                                "model", order.model(),
                                "version", order.version()));
        Map<String, String> headers =
                Map.of(
                        "Content-Type",
                        "application/json",
                        "Skylarkmast-Epoch",
                        Long.toString(order.epoch()));
        HttpOutcome outcome =
                client.send(
                        new ClientRequest(
                                runner.address(),
                                "POST",
                                "/orders",
                                headers,
                                body,
                                timeoutMs,
                                true));
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() == CONFLICT) {
            long highest =
                    parseBody(answered)
                            .map(state -> state.path("highestEpoch").asLong(0))
                            .orElse(0L);
            tracker.refused(runner.name(), highest);
        }
        LOG.atInfo()
                .addKeyValue("event", "engine_ordered")
                .addKeyValue("target", runner.name())
                .addKeyValue("model", order.model())
                .addKeyValue("version", order.version())
                .addKeyValue("epoch", order.epoch())
                .addKeyValue("outcome", outcome.getClass().getSimpleName())
                .log();
    }

    private static Optional<JsonNode> parseBody(HttpOutcome.Answered answered) {
        try {
            return Optional.of(JsonUtil.MAPPER.readTree(answered.body()));
        } catch (JacksonException e) {
            return Optional.empty();
        }
    }
}
