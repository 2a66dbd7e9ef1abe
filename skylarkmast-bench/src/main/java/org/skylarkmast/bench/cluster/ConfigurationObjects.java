package org.skylarkmast.bench.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The configuration objects of a cluster, in the JSON form that operators publish. */
public final class ConfigurationObjects {

    /** The model that every template allows. */
    public static final String MODEL = "assistant";

    /** The name of the plain service. */
    public static final String SERVICE = "orders";

    /** Path of the non-repeatable operation; called with POST. */
    public static final String ORDER_PATH = "/orders";

    /** Path of the repeatable operation; called with GET. */
    public static final String LOOKUP_PATH = "/stock";

    /** The version of {@link #MODEL} that engines load at start. */
    public static final String MODEL_VERSION = "v1";

    private static final int MAX_CALLS_PER_RUNNER = 16;

    private ConfigurationObjects() {}

    /** Returns the name of a workspace's program template. */
    public static String template(String workspace) {
        return workspace + "-assistant";
    }

    /** Returns all objects for {@code shape} with the given runners. */
    static List<Map<String, Object>> objects(
            ClusterShape shape, List<Runner> engines, List<Runner> services) {
        List<Map<String, Object>> objects = new ArrayList<>();
        objects.add(
                Map.of(
                        "kind",
                        "model",
                        "name",
                        MODEL,
                        "version",
                        MODEL_VERSION,
                        "contextTokens",
                        32_000,
                        "maxOutputTokens",
                        512));
        objects.add(
                Map.of(
                        "kind", "budget",
                        "name", "standard",
                        "tokens", shape.budgetTokens(),
                        "serviceCalls", shape.budgetServiceCalls(),
                        "grantTokens", Math.max(1, Math.min(20_000, shape.budgetTokens() / 4))));
        objects.add(Map.of("kind", "priority", "name", "normal", "level", 1, "maxWaitMs", 20_000));
        for (String workspace : shape.workspaces()) {
            objects.add(workspace(workspace));
            objects.add(template(workspace, shape));
        }
        objects.add(
                Map.of(
                        "kind",
                        "target",
                        "name",
                        "engines",
                        "type",
                        "model-engine",
                        "models",
                        List.of(MODEL),
                        "runners",
                        runners(engines),
                        "checksEpoch",
                        true));
        objects.add(
                Map.of(
                        "kind",
                        "target",
                        "name",
                        SERVICE,
                        "type",
                        "plain-service",
                        "runners",
                        runners(services),
                        "operations",
                        List.of(
                                operation("POST", ORDER_PATH, false),
                                operation("GET", LOOKUP_PATH, true))));
        return objects;
    }

    private static Map<String, Object> workspace(String name) {
        return Map.of(
                "kind",
                "workspace",
                "name",
                name,
                "keySha256",
                List.of(BearerKeys.sha256(BearerKeys.ofWorkspace(name))),
                "maxConcurrentCalls",
                200,
                "maxQueuedCalls",
                500,
                "cacheWeight",
                name.equals("consortium") ? 2.0 : 0.5);
    }

    private static Map<String, Object> template(String workspace, ClusterShape shape) {
        return Map.of(
                "kind",
                "program",
                "name",
                template(workspace),
                "workspace",
                workspace,
                "models",
                List.of(MODEL),
                "services",
                List.of(SERVICE),
                "budget",
                "standard",
                "priority",
                "normal",
                "callTimeoutMs",
                shape.callTimeoutMs());
    }

    private static Map<String, Object> operation(String method, String path, boolean repeatable) {
        return Map.of("method", method, "path", path, "repeatable", repeatable);
    }

    private static List<Map<String, Object>> runners(List<Runner> runners) {
        List<Map<String, Object>> objects = new ArrayList<>();
        for (Runner runner : runners) {
            objects.add(
                    Map.of(
                            "name", runner.name(),
                            "address", runner.address(),
                            "failureDomain", runner.failureDomain(),
                            "maxConcurrentCalls", MAX_CALLS_PER_RUNNER));
        }
        return objects;
    }
}
