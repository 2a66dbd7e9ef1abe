package org.skylarkmast.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Predicate;
import tools.jackson.databind.JsonNode;

/**
 * Reads the fields of one JSON object and reports every field that is missing, has the wrong type
 * or is unknown.
 *
 * <p>A field with a problem yields a placeholder value, so that reading continues and all problems
 * are reported together.
 */
final class ObjectFields {
    private final JsonNode node;
    private final String pathPrefix;
    private final BiConsumer<String, String> problems;
    private final Set<String> knownFields = new TreeSet<>();

    /**
     * @param pathPrefix path of the object, either empty or ending in a dot
     * @param problems receives the path and the message of each problem
     */
    ObjectFields(JsonNode node, String pathPrefix, BiConsumer<String, String> problems) {
        this.node = node;
        this.pathPrefix = pathPrefix;
        this.problems = problems;
    }

    String text(String field) {
        return readRequired(field, "a string", JsonNode::isString, JsonNode::stringValue, "");
    }

    int intNumber(String field) {
        return readRequired(field, "a whole number", ObjectFields::isInt, JsonNode::intValue, 0);
    }

    int intNumber(String field, int defaultValue) {
        return has(field) ? intNumber(field) : defaultValue;
    }

    long longNumber(String field) {
        return readRequired(field, "a whole number", ObjectFields::isLong, JsonNode::longValue, 0L);
    }

    long longNumber(String field, long defaultValue) {
        return has(field) ? longNumber(field) : defaultValue;
    }

    double number(String field, double defaultValue) {
        return has(field)
                ? readRequired(field, "a number", JsonNode::isNumber, JsonNode::doubleValue, 0.0)
                : defaultValue;
    }

    boolean flag(String field, boolean defaultValue) {
        return has(field)
                ? readRequired(
                        field,
                        "true or false",
                        JsonNode::isBoolean,
                        JsonNode::booleanValue,
                        defaultValue)
                : defaultValue;
    }

    /** Reads a list of strings; an absent list is read as empty. */
    List<String> texts(String field) {
        List<String> texts = new ArrayList<>();
        for (JsonNode element : elements(field)) {
            if (element.isString()) {
                texts.add(element.stringValue());
            } else {
                problem(field + "[" + texts.size() + "]", "expected a string, found " + element);
                texts.add("");
            }
        }
        return texts;
    }

    /** Reads a list of objects, each with {@code reader}; an absent list is read as empty. */
    <T> List<T> objects(String field, Function<ObjectFields, T> reader) {
        List<T> objects = new ArrayList<>();
        int index = 0;
        for (JsonNode element : elements(field)) {
            String path = field + "[" + index + "]";
            if (element.isObject()) {
                ObjectFields fields = new ObjectFields(element, pathPrefix + path + ".", problems);
                objects.add(reader.apply(fields));
                fields.reportUnknown();
            } else {
                problem(path, "expected an object, found " + element);
            }
            index++;
        }
        return objects;
    }

    void problem(String field, String message) {
        problems.accept(pathPrefix + field, message);
    }

    /** Reports the fields that no method of this instance was called for. */
    void reportUnknown() {
        for (String field : node.propertyNames()) {
            if (!knownFields.contains(field)) {
                problem(field, "unknown field; expected one of " + String.join(", ", knownFields));
            }
        }
    }

    private boolean has(String field) {
        knownFields.add(field);
        return node.has(field);
    }

    private Iterable<JsonNode> elements(String field) {
        if (!has(field)) {
            return List.of();
        }
        JsonNode list = node.get(field);
        if (!list.isArray()) {
            problem(field, "expected a list, found " + list);
            return List.of();
        }
        return list;
    }

    private <T> T readRequired(
            String field,
            String expected,
            Predicate<JsonNode> hasExpectedType,
            Function<JsonNode, T> convert,
            T placeholder) {
        if (!has(field)) {
            problem(field, "missing; expected " + expected);
            return placeholder;
        }
        JsonNode value = node.get(field);
        if (!hasExpectedType.test(value)) {
            problem(field, "expected " + expected + ", found " + value);
            return placeholder;
        }
        return convert.apply(value);
    }

    private static boolean isInt(JsonNode value) {
        return value.isIntegralNumber() && value.canConvertToInt();
    }

    private static boolean isLong(JsonNode value) {
        return value.isIntegralNumber() && value.canConvertToLong();
    }
}
