package org.skylarkmast.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.core.JacksonException;
import tools.jackson.core.StreamReadFeature;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.ObjectReader;

/**
 * Parses objects from JSON: a list whose elements have {@code kind}, {@code name} and the fields of
 * that kind.
 *
 * <p>Comments and trailing commas are allowed; duplicate fields, unknown fields and text after the
 * list are rejected. Each object is also validated on its own by {@link ObjectRules}; references
 * between objects are checked by {@link ConfigurationValidator}.
 */
public final class ObjectParser {
    private static final ObjectReader READER =
            JsonUtil.MAPPER.reader().with(StreamReadFeature.STRICT_DUPLICATE_DETECTION);

    private static final double DEFAULT_WORKSPACE_WEIGHT = 1.0;
    private static final int DEFAULT_MAX_CONCURRENT_CALLS = 64;
    private static final int DEFAULT_MAX_QUEUED_CALLS = 256;
    private static final double DEFAULT_CACHE_WEIGHT = 0.0;
    private static final int DEFAULT_MAX_TURNS = 100;
    private static final int DEFAULT_MAX_SUB_AGENT_DEPTH = 2;
    private static final long DEFAULT_CALL_TIMEOUT_MS = 120_000;
    private static final long DEFAULT_IDLE_EXPIRY_MS = 1_800_000;
    private static final long DEFAULT_GRANT_TOKENS = 4_000;
    private static final int DEFAULT_RUNNER_MAX_CONCURRENT_CALLS = 16;

    private ObjectParser() {}

    /**
     * Parses objects from {@code text}.
     *
     * @param source name of the text in problem reports, such as its file name
     */
    public static ParseOutcome parse(String source, String text) {
        JsonNode root;
        try {
            root = READER.readTree(text);
        } catch (JacksonException e) {
            return new ParseOutcome.Rejected(List.of(syntaxProblem(source, e)));
        }
        if (root.isMissingNode()) {
            return new ParseOutcome.Rejected(
                    List.of(Problem.ofSource(source, "not JSON: the text is empty")));
        }
        return parse(source, root);
    }

    /** Parses objects from the JSON list {@code root}. */
    public static ParseOutcome parse(String source, JsonNode root) {
        if (!root.isArray()) {
            return new ParseOutcome.Rejected(
                    List.of(Problem.ofSource(source, "expected a list of objects")));
        }
        List<DeclaredObject> objects = new ArrayList<>();
        List<Problem> problems = new ArrayList<>();
        for (int index = 0; index < root.size(); index++) {
            parseObject(source, index, root.get(index), problems).ifPresent(objects::add);
        }
        return problems.isEmpty()
                ? new ParseOutcome.Parsed(objects)
                : new ParseOutcome.Rejected(problems);
    }

    private static Problem syntaxProblem(String source, JacksonException e) {
        String line = e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
        return Problem.ofSource(source, line + "not JSON: " + e.getOriginalMessage());
    }

    private static Optional<DeclaredObject> parseObject(
            String source, int index, JsonNode node, List<Problem> problems) {
        if (!node.isObject()) {
            problems.add(new Problem(source, index, "", "", "expected an object, found " + node));
            return Optional.empty();
        }
        int problemsBefore = problems.size();
        String label = node.path("kind").asString("?") + "/" + node.path("name").asString("?");
        ObjectFields fields =
                new ObjectFields(
                        node,
                        "",
                        (path, message) ->
                                problems.add(new Problem(source, index, label, path, message)));
        String kindName = fields.text("kind");
        Optional<ObjectKind> kind = ObjectKind.fromWireName(kindName);
        if (kind.isEmpty()) {
            if (problems.size() == problemsBefore) {
                fields.problem(
                        "kind", "expected one of " + kindNames() + ", found \"" + kindName + "\"");
            }
            return Optional.empty();
        }
        ConfigurationObject object = parseFields(kind.get(), fields);
        fields.reportUnknown();
        if (problems.size() > problemsBefore) {
            return Optional.empty();
        }
        DeclaredObject declared = new DeclaredObject(source, index, object);
        problems.addAll(ObjectRules.check(declared));
        return Optional.of(declared);
    }

    private static String kindNames() {
        return String.join(
                ", ", List.of(ObjectKind.values()).stream().map(ObjectKind::wireName).toList());
    }

    private static ConfigurationObject parseFields(ObjectKind kind, ObjectFields fields) {
        return switch (kind) {
            case WORKSPACE -> parseWorkspace(fields);
            case PROGRAM -> parseProgram(fields);
            case TARGET -> parseTarget(fields);
            case MODEL ->
                    new Model(
                            fields.text("name"),
                            fields.text("version"),
                            fields.intNumber("contextTokens"),
                            fields.intNumber("maxOutputTokens"));
            case BUDGET ->
                    new Budget(
                            fields.text("name"),
                            fields.longNumber("tokens"),
                            fields.intNumber("serviceCalls"),
                            fields.longNumber("grantTokens", DEFAULT_GRANT_TOKENS));
            case PRIORITY ->
                    new Priority(
                            fields.text("name"),
                            fields.intNumber("level"),
                            fields.longNumber("maxWaitMs"));
        };
    }

    private static Workspace parseWorkspace(ObjectFields fields) {
        return new Workspace(
                fields.text("name"),
                fields.texts("keySha256"),
                fields.number("weight", DEFAULT_WORKSPACE_WEIGHT),
                fields.intNumber("maxConcurrentCalls", DEFAULT_MAX_CONCURRENT_CALLS),
                fields.intNumber("maxQueuedCalls", DEFAULT_MAX_QUEUED_CALLS),
                fields.number("cacheWeight", DEFAULT_CACHE_WEIGHT));
    }

    private static ProgramTemplate parseProgram(ObjectFields fields) {
        return new ProgramTemplate(
                fields.text("name"),
                fields.text("workspace"),
                fields.texts("models"),
                fields.texts("services"),
                fields.text("budget"),
                fields.text("priority"),
                fields.intNumber("maxTurns", DEFAULT_MAX_TURNS),
                fields.intNumber("maxSubAgentDepth", DEFAULT_MAX_SUB_AGENT_DEPTH),
                fields.longNumber("callTimeoutMs", DEFAULT_CALL_TIMEOUT_MS),
                fields.longNumber("idleExpiryMs", DEFAULT_IDLE_EXPIRY_MS));
    }

    private static Target parseTarget(ObjectFields fields) {
        return new Target(
                fields.text("name"),
                parseTargetKind(fields),
                fields.texts("models"),
                fields.objects("runners", ObjectParser::parseRunner),
                fields.objects("operations", ObjectParser::parseOperation),
                fields.flag("checksEpoch", false),
                fields.flag("supportsLookup", false));
    }

    private static Target.Kind parseTargetKind(ObjectFields fields) {
        String typeName = fields.text("type");
        Optional<Target.Kind> kind = TargetKindNames.fromWireName(typeName);
        if (kind.isEmpty() && !typeName.isEmpty()) {
            fields.problem(
                    "type",
                    "expected " + TargetKindNames.wireNames() + ", found \"" + typeName + "\"");
        }
        return kind.orElse(Target.Kind.MODEL_ENGINE);
    }

    private static Target.Runner parseRunner(ObjectFields fields) {
        return new Target.Runner(
                fields.text("name"),
                fields.text("address"),
                fields.text("failureDomain"),
                fields.intNumber("maxConcurrentCalls", DEFAULT_RUNNER_MAX_CONCURRENT_CALLS));
    }

    private static Target.Operation parseOperation(ObjectFields fields) {
        return new Target.Operation(
                fields.text("method"), fields.text("path"), fields.flag("repeatable", false));
    }
}
