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
 * Reads the fields of one JSON object and reports every field that is missing, of another type or
 * unknown.
 *
 * <p>A field with a problem reads as a placeholder, so that reading goes on to the next problem.
 */
final class ObjectFields {
    private final JsonNode node;
    private final String pathPrefix;
    private final BiConsumer<String, String> problems;
    private final Set<String> known = new TreeSet<>();

    /**
     * @param pathPrefix path of the object itself, empty or ending in a dot
     * @param problems takes the path and the message of each problem
     */
    ObjectFields(JsonNode node, String pathPrefix, BiConsumer<String, String> problems) {
        this.node = node;
        this.pathPrefix = pathPrefix;
        this.problems = problems;
    }

    String text(String field) {
        return required(field, "a string", JsonNode::isString, JsonNode::stringValue, "");
    }

    int intNumber(String field) {
        return required(field, "a whole number", ObjectFields::isInt, JsonNode::intValue, 0);
    }

    int intNumber(String field, int byDefault) {
        return has(field) ? intNumber(field) : byDefault;
    }

    long longNumber(String field) {
        return required(field, "a whole number", ObjectFields::isLong, JsonNode::longValue, 0L);
    }

    long longNumber(String field, long byDefault) {
        return has(field) ? longNumber(field) : byDefault;
    }

    double number(String field, double byDefault) {
        return has(field)
                ? required(field, "a number", JsonNode::isNumber, JsonNode::doubleValue, 0.0)
                : byDefault;
    }

    boolean flag(String field, boolean byDefault) {
        return has(field)
                ? required(
                        field,
                        "true or false",
                        JsonNode::isBoolean,
                        JsonNode::booleanValue,
                        byDefault)
                : byDefault;
    }

    /** The strings of a list; an absent list is empty. */
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

    /** The objects of a list, each read by {@code reader}; an absent list is empty. */
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

    /** Reports the fields that nothing has asked for. */
    void reportUnknown() {
        for (String field : node.propertyNames()) {
            if (!known.contains(field)) {
                problem(field, "unknown field; expected one of " + String.join(", ", known));
            }
        }
    }

    private boolean has(String field) {
        known.add(field);
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

    private <T> T required(
            String field,
            String expected,
            Predicate<JsonNode> fits,
            Function<JsonNode, T> read,
            T placeholder) {
        if (!has(field)) {
            problem(field, "missing; expected " + expected);
            return placeholder;
        }
        JsonNode value = node.get(field);
        if (!fits.test(value)) {
            problem(field, "expected " + expected + ", found " + value);
            return placeholder;
        }
        return read.apply(value);
    }

    private static boolean isInt(JsonNode value) {
        return value.isIntegralNumber() && value.canConvertToInt();
    }

    private static boolean isLong(JsonNode value) {
        return value.isIntegralNumber() && value.canConvertToLong();
    }
}
