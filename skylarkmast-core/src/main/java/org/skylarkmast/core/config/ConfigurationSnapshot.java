package org.skylarkmast.core.config;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Encodes a complete configuration with a digest, for transfer between peers and for a node's data
 * folder.
 *
 * <p>Format: {@code {"revision":n,"sha256":"...","objects":[...]}}; the digest covers the revision
 * and the objects.
 */
public final class ConfigurationSnapshot {
    private static final String SOURCE = "snapshot";

    private ConfigurationSnapshot() {}

    /** Encodes {@code configuration}. */
    public static byte[] encode(Configuration configuration) {
        JsonNode objects = ObjectWriter.toJson(configuration.objects());
        ObjectNode root = JsonUtil.MAPPER.createObjectNode();
        root.put("revision", configuration.revision());
        root.put("sha256", digest(configuration.revision(), objects));
        root.set("objects", objects);
        return JsonUtil.toBytes(root);
    }

    /** Decodes and validates a configuration. */
    public static ValidationOutcome decode(byte[] bytes) {
        JsonNode root;
        try {
            root = JsonUtil.MAPPER.readTree(bytes);
        } catch (JacksonException e) {
            return invalid("not JSON: " + e.getOriginalMessage());
        }
        long revision = root.path("revision").asLong(-1);
        JsonNode objects = root.path("objects");
        if (revision < 0 || !root.path("sha256").asString("").equals(digest(revision, objects))) {
            return invalid("expected a revision and objects of the digest given");
        }
        return switch (ObjectParser.parse(SOURCE, objects)) {
            case ParseOutcome.Parsed parsed ->
                    ConfigurationValidator.validate(revision, parsed.objects());
            case ParseOutcome.Rejected rejected ->
                    new ValidationOutcome.Invalid(rejected.problems());
        };
    }

    private static ValidationOutcome invalid(String message) {
        return new ValidationOutcome.Invalid(List.of(Problem.ofSource(SOURCE, message)));
    }

    private static String digest(long revision, JsonNode objects) {
        return ConfigurationChunks.sha256(
                (revision + "\n" + objects).getBytes(StandardCharsets.UTF_8));
    }
}
