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
 * Brings engines to the declared versions of their models.
 *
 * <p>One node at a time gives orders to a target: the owner of the target's partition, under that
 * partition's epoch. An engine that checks epochs refuses a former owner; at one that does not, a
 * paused former owner's order can take effect until the next review, which corrects it.
 * Thread-safe.
 */
public final class EngineOrders {
    private static final Logger LOG = LoggerFactory.getLogger(EngineOrders.class);
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private final HttpClient client;
    private final long timeoutMs;
    private final Function<String, OptionalLong> epochOfTarget;
    private final OrderTracker tracker = new OrderTracker();

    /**
     * Creates orders for the targets this node is responsible for.
     *
     * @param timeoutMs longest silence of an engine to bear
     * @param epochOfTarget epoch under which this node gives orders to a target; empty if another
     *     node does
     */
    public EngineOrders(
            HttpClient client, long timeoutMs, Function<String, OptionalLong> epochOfTarget) {
        this.client = client;
        this.timeoutMs = timeoutMs;
        this.epochOfTarget = epochOfTarget;
    }

    /** Looks at all engines and orders what is missing; to be called every few seconds. */
    public synchronized void review(Configuration configuration) {
        for (Target target : configuration.targets().values()) {
            if (target.kind() == Target.Kind.MODEL_ENGINE) {
                List<Model> declared =
                        target.models().stream()
                                .map(configuration.models()::get)
                                .filter(model -> model != null)
                                .toList();
                target.runners().forEach(runner -> review(target.name(), runner, declared));
            }
        }
    }

    private void review(String target, Target.Runner runner, List<Model> declared) {
        if (epochOfTarget.apply(target).isEmpty()) {
            return;
        }
        Optional<OrderTracker.Loaded> loaded = read(runner.address());
        // Looked up after the read, right before the order is sent.
        OptionalLong epoch = epochOfTarget.apply(target);
        if (loaded.isPresent() && epoch.isPresent()) {
            tracker.due(runner.name(), loaded.get(), declared, epoch.getAsLong())
                    .ifPresent(order -> send(runner, order));
        }
    }

    private Optional<OrderTracker.Loaded> read(String address) {
        HttpOutcome outcome = client.send(ClientRequest.get(address, "/orders", timeoutMs));
        if (!(outcome instanceof HttpOutcome.Answered answered) || answered.status() != OK) {
            return Optional.empty();
        }
        return parse(answered)
                .map(
                        state ->
                                new OrderTracker.Loaded(
                                        state.path("model").asString(""),
                                        state.path("version").asString("")));
    }

    private void send(Target.Runner runner, OrderTracker.LoadOrder order) {
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
                    parse(answered).map(state -> state.path("highestEpoch").asLong(0)).orElse(0L);
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

    private static Optional<JsonNode> parse(HttpOutcome.Answered answered) {
        try {
            return Optional.of(JsonUtil.MAPPER.readTree(answered.body()));
        } catch (JacksonException e) {
            return Optional.empty();
        }
    }
}
