package org.skylarkmast.core.config;

import java.util.Collection;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Writes objects as JSON that {@link ObjectParser} reads.
 *
 * <p>The output is canonical: equal objects produce the same text, and default values are written.
 */
public final class ObjectWriter {

    private ObjectWriter() {}

    /** Returns the objects as a JSON list in the given order. */
    public static ArrayNode toJson(Collection<? extends ConfigurationObject> objects) {
        ArrayNode list = JsonUtil.MAPPER.createArrayNode();
        objects.forEach(object -> list.add(toJson(object)));
        return list;
    }

    /** Returns {@code object} as JSON. */
    public static ObjectNode toJson(ConfigurationObject object) {
        ObjectNode node =
                JsonUtil.MAPPER
                        .createObjectNode()
                        .put("kind", object.objectKind().wireName())
                        .put("name", object.name());
        switch (object) {
            case Workspace workspace -> writeWorkspace(workspace, node);
            case ProgramTemplate program -> writeProgram(program, node);
            case Target target -> writeTarget(target, node);
            case Model model ->
                    node.put("version", model.version())
                            .put("contextTokens", model.contextTokens())
                            .put("maxOutputTokens", model.maxOutputTokens());
            case Budget budget ->
                    node.put("tokens", budget.tokens())
                            .put("serviceCalls", budget.serviceCalls())
                            .put("grantTokens", budget.grantTokens());
            case Priority priority ->
                    node.put("level", priority.level()).put("maxWaitMs", priority.maxWaitMs());
        }
        return node;
    }

    private static void writeWorkspace(Workspace workspace, ObjectNode node) {
        workspace.keySha256().forEach(node.putArray("keySha256")::add);
        node.put("weight", workspace.weight())
                .put("maxConcurrentCalls", workspace.maxConcurrentCalls())
                .put("maxQueuedCalls", workspace.maxQueuedCalls())
                .put("cacheWeight", workspace.cacheWeight());
    }

    private static void writeProgram(ProgramTemplate program, ObjectNode node) {
        node.put("workspace", program.workspace());
        program.models().forEach(node.putArray("models")::add);
        program.services().forEach(node.putArray("services")::add);
        node.put("budget", program.budget())
                .put("priority", program.priority())
                .put("maxTurns", program.maxTurns())
                .put("maxSubAgentDepth", program.maxSubAgentDepth())
                .put("callTimeoutMs", program.callTimeoutMs())
                .put("idleExpiryMs", program.idleExpiryMs());
    }

    private static void writeTarget(Target target, ObjectNode node) {
        node.put("type", TargetKindNames.wireName(target.kind()));
        target.models().forEach(node.putArray("models")::add);
        ArrayNode runners = node.putArray("runners");
        for (Target.Runner runner : target.runners()) {
            runners.addObject()
                    .put("name", runner.name())
                    .put("address", runner.address())
                    .put("failureDomain", runner.failureDomain())
                    .put("maxConcurrentCalls", runner.maxConcurrentCalls());
        }
        ArrayNode operations = node.putArray("operations");
        for (Target.Operation operation : target.operations()) {
            operations
                    .addObject()
                    .put("method", operation.method())
                    .put("path", operation.path())
                    .put("repeatable", operation.repeatable());
        }
        node.put("checksEpoch", target.checksEpoch())
                .put("supportsLookup", target.supportsLookup());
    }
}
