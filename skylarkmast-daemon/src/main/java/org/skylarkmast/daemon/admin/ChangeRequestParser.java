package org.skylarkmast.daemon.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.skylarkmast.core.config.ChangeSet;
import org.skylarkmast.core.config.DeclaredObject;
import org.skylarkmast.core.config.ObjectKind;
import org.skylarkmast.core.config.ObjectName;
import org.skylarkmast.core.config.ObjectParser;
import org.skylarkmast.core.config.ParseOutcome;
import org.skylarkmast.core.config.Problem;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.daemon.configuration.ConfigurationPublisher;
import tools.jackson.core.JacksonException;
import tools.jackson.core.StreamReadFeature;
import tools.jackson.databind.JsonNode;

/** Parses the body of a request that changes objects; reports all of its problems at once. */
final class ChangeRequestParser {
    private static final String SOURCE = "request";
    private static final Set<String> FIELDS =
            Set.of("baseRevision", "apply", "delete", "dryRun", "writeId");
    private static final Pattern WRITE_ID = Pattern.compile("[A-Za-z0-9._-]{8,64}");

    private final Supplier<String> writeIds;

    /**
     * @param writeIds source of unique ids for requests that carry none
     */
    ChangeRequestParser(Supplier<String> writeIds) {
        this.writeIds = writeIds;
    }

    /** Result of parsing a body. */
    sealed interface Outcome {

        /** The body is well formed. */
        record Parsed(ConfigurationPublisher.Request request) implements Outcome {}

        /** The body is not JSON, or not an object. */
        record Malformed(String detail) implements Outcome {}

        /** The body is a JSON object with invalid fields. */
        record Rejected(List<Problem> problems) implements Outcome {}
    }

    Outcome parse(byte[] body) {
        JsonNode root;
        try {
            root =
                    JsonUtil.MAPPER
                            .reader()
                            .with(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                            .readTree(body);
        } catch (JacksonException e) {
            return new Outcome.Malformed("not JSON: " + e.getOriginalMessage());
        }
        if (!root.isObject()) {
            return new Outcome.Malformed("expected a JSON object");
        }
        List<Problem> problems = new ArrayList<>();
        for (String field : root.propertyNames()) {
            if (!FIELDS.contains(field)) {
                problems.add(problem(field, "unknown field"));
            }
        }
        ChangeSet changes = new ChangeSet(apply(root, problems), delete(root, problems));
        OptionalLong baseRevision = baseRevision(root, problems);
        boolean dryRun = dryRun(root, problems);
        String writeId = writeId(root, problems);
        return problems.isEmpty()
                ? new Outcome.Parsed(
                        new ConfigurationPublisher.Request(baseRevision, changes, dryRun, writeId))
                : new Outcome.Rejected(problems);
    }

    private static OptionalLong baseRevision(JsonNode root, List<Problem> problems) {
        JsonNode node = root.path("baseRevision");
        if (node.isMissingNode() || node.isNull()) {
            return OptionalLong.empty();
        }
        if (!node.isIntegralNumber() || !node.canConvertToLong() || node.longValue() < 0) {
            problems.add(problem("baseRevision", "expected a revision or null, found " + node));
            return OptionalLong.empty();
        }
        return OptionalLong.of(node.longValue());
    }

    private static boolean dryRun(JsonNode root, List<Problem> problems) {
        JsonNode node = root.path("dryRun");
        if (!node.isMissingNode() && !node.isBoolean()) {
            problems.add(problem("dryRun", "expected true or false, found " + node));
        }
        return node.asBoolean(false);
    }

    private String writeId(JsonNode root, List<Problem> problems) {
        JsonNode node = root.path("writeId");
        if (node.isMissingNode()) {
            return writeIds.get();
        }
        if (!node.isString() || !WRITE_ID.matcher(node.stringValue()).matches()) {
            problems.add(
                    problem(
                            "writeId",
                            "expected 8 to 64 letters, digits, dots, hyphens or underscores"));
            return "";
        }
        return node.stringValue();
    }

    private static List<DeclaredObject> apply(JsonNode root, List<Problem> problems) {
        if (!root.has("apply")) {
            return List.of();
        }
        return switch (ObjectParser.parse("apply", root.get("apply"))) {
            case ParseOutcome.Parsed parsed -> parsed.objects();
            case ParseOutcome.Rejected rejected -> {
                problems.addAll(rejected.problems());
                yield List.of();
            }
        };
    }

    private static List<ObjectName> delete(JsonNode root, List<Problem> problems) {
        List<ObjectName> names = new ArrayList<>();
        JsonNode list = root.path("delete");
        if (!list.isMissingNode() && !list.isArray()) {
            problems.add(problem("delete", "expected a list, found " + list));
            return names;
        }
        int index = 0;
        for (JsonNode node : list) {
            Optional<ObjectKind> kind = ObjectKind.fromWireName(node.path("kind").asString(""));
            String name = node.path("name").asString("");
            if (kind.isEmpty() || name.isEmpty() || node.size() != 2) {
                problems.add(
                        new Problem(
                                "delete", index, "", "", "expected kind and name, found " + node));
            } else {
                names.add(new ObjectName(kind.get(), name));
            }
            index++;
        }
        return names;
    }

    private static Problem problem(String path, String message) {
        return new Problem(SOURCE, Problem.WHOLE_SOURCE, "", path, message);
    }
}
