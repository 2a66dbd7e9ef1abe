package org.skylarkmast.standins;

import java.util.Optional;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.DeserializationFeature;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/**
 * Serializes and parses JSON. In parsed objects a missing field takes its default value, and an
 * unknown field is an error.
 */
public final class StandInJson {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .build();

    private StandInJson() {}

    /** Returns {@code value} as JSON on one line. */
    public static String write(Object value) {
        return MAPPER.writeValueAsString(value);
    }

    /** Parses {@code body}; returns empty if it is malformed. */
    public static <T> Optional<T> read(byte[] body, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(body, type));
        } catch (JacksonException e) {
            return Optional.empty();
        }
    }

    /** Parses {@code body} as a tree; returns empty if it is malformed. */
    public static Optional<JsonNode> readTree(byte[] body) {
        return read(body, JsonNode.class);
    }
}
