package org.skylarkmast.core.json;

import tools.jackson.core.JacksonException;
import tools.jackson.core.json.JsonReadFeature;
import tools.jackson.databind.DeserializationFeature;
import tools.jackson.databind.json.JsonMapper;

/** Reads and writes JSON with one common configuration. */
public final class JsonUtil {

    /**
     * Mapper that rejects unknown fields and null for primitives; accepts comments and trailing
     * commas.
     */
    public static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .build();

    private JsonUtil() {}

    /** Serializes {@code value} to JSON bytes. */
    public static byte[] toBytes(Object value) {
        return MAPPER.writeValueAsBytes(value);
    }

    /**
     * Deserializes a value that was written by {@link #toBytes}.
     *
     * @throws IllegalStateException if the bytes are not a valid JSON representation of {@code
     *     type}
     */
    public static <T> T fromBytes(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (JacksonException e) {
            throw new IllegalStateException("invalid JSON for " + type.getSimpleName(), e);
        }
    }
}
