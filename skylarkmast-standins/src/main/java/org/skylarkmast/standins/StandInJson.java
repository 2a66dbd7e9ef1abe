package org.skylarkmast.standins;

import java.util.Optional;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.DeserializationFeature;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/**
 * Writes JSON and reads it from outside, where fields not given are none and unknown ones errors.
 */
public final class StandInJson {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .build();

    private StandInJson() {}

    /** The JSON text of {@code value}, on one line. */
    public static String write(Object value) {
        return MAPPER.writeValueAsString(value);
    }

    /** Reads {@code body}; empty if it is malformed. */
    public static <T> Optional<T> read(byte[] body, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(body, type));
        } catch (JacksonException e) {
            return Optional.empty();
        }
    }

    /** Reads {@code body} as a tree; empty if it is malformed. */
    public static Optional<JsonNode> readTree(byte[] body) {
        return read(body, JsonNode.class);
    }
}
