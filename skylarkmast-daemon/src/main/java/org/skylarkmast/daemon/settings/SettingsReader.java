package org.skylarkmast.daemon.settings;

import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.core.JacksonException;
import tools.jackson.core.StreamReadFeature;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.ObjectReader;
import tools.jackson.databind.node.ObjectNode;

/** Reads a settings file: parses JSON with comments, validates it and applies defaults. */
public final class SettingsReader {
    private static final ObjectReader READER =
            JsonUtil.MAPPER.reader().with(StreamReadFeature.STRICT_DUPLICATE_DETECTION);
    private static final JsonNode SCHEMA_NODE = loadSchema();
    private static final Schema SCHEMA =
            SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(SCHEMA_NODE);

    private SettingsReader() {}

    /** Reads and validates the settings in {@code file}. */
    public static SettingsOutcome read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (NoSuchFileException e) {
            return invalid("", "expected a file at " + file + ", found none");
        } catch (MalformedInputException e) {
            return invalid("", "expected UTF-8 text in " + file);
        } catch (IOException e) {
            return invalid("", "cannot read " + file + ": " + e.getMessage());
        }
    }

    /** Parses and validates the settings in {@code text}. */
    public static SettingsOutcome parse(String text) {
        JsonNode root;
        try {
            root = READER.readTree(text);
        } catch (JacksonException e) {
            String line =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
            return invalid("", line + "not JSON: " + e.getOriginalMessage());
        }
        if (!(root instanceof ObjectNode object)) {
            return invalid("", "expected an object");
        }
        List<SettingsProblem> problems =
                new ArrayList<>(
                        SCHEMA.validate(object).stream()
                                .map(SettingsReader::toProblem)
                                .distinct()
                                .toList());
        if (!problems.isEmpty()) {
            return new SettingsOutcome.Invalid(problems);
        }
        applyDefaults(object, SCHEMA_NODE);
        Settings settings = JsonUtil.MAPPER.treeToValue(object, Settings.class);
        problems.addAll(SettingsValidator.check(settings));
        return problems.isEmpty()
                ? new SettingsOutcome.Valid(settings)
                : new SettingsOutcome.Invalid(problems);
    }

    private static SettingsOutcome invalid(String path, String message) {
        return new SettingsOutcome.Invalid(List.of(new SettingsProblem(path, message)));
    }

    private static JsonNode loadSchema() {
        try (InputStream in = SettingsReader.class.getResourceAsStream("settings.schema.json")) {
            return JsonUtil.MAPPER.readTree(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static SettingsProblem toProblem(Error error) {
        String path = "";
        JsonNode schema = SCHEMA_NODE;
        for (int i = 0; i < error.getInstanceLocation().getNameCount(); i++) {
            Object element = error.getInstanceLocation().getElement(i);
            if (element instanceof Integer index) {
                path += "[" + index + "]";
                schema = schema.path("items");
            } else {
                path += (path.isEmpty() ? "" : ".") + element;
                schema = schema.path("properties").path(element.toString());
            }
        }
        return switch (error.getKeyword()) {
            case "required" ->
                    new SettingsProblem(
                            childPath(path, error.getProperty()),
                            "missing; expected "
                                    + describeExpected(
                                            schema.path("properties").path(error.getProperty())));
            case "additionalProperties" ->
                    new SettingsProblem(
                            childPath(path, error.getProperty()),
                            "unknown field; expected one of "
                                    + String.join(", ", schema.path("properties").propertyNames()));
            default ->
                    new SettingsProblem(
                            path,
                            "expected "
                                    + describeExpected(schema)
                                    + ", found "
                                    + error.getInstanceNode());
        };
    }

    private static String childPath(String path, String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    private static String describeExpected(JsonNode schema) {
        if (schema.path("type").asString("").equals("object")) {
            return "an object";
        }
        return schema.path("description").asString("a valid value");
    }

    private static void applyDefaults(ObjectNode object, JsonNode schema) {
        for (Map.Entry<String, JsonNode> property : schema.path("properties").properties()) {
            JsonNode defaultValue = property.getValue().get("default");
            if (!object.has(property.getKey()) && defaultValue != null) {
                object.set(property.getKey(), defaultValue.deepCopy());
            }
            if (object.get(property.getKey()) instanceof ObjectNode child) {
                applyDefaults(child, property.getValue());
            }
        }
    }
}
