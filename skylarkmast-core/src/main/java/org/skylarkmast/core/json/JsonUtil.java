package org.skylarkmast.core.json;

import tools.jackson.core.JacksonException;
import tools.jackson.core.json.JsonReadFeature;
import tools.jackson.databind.DeserializationFeature;
import tools.jackson.databind.json.JsonMapper;

/** Writes and reads JSON the same way everywhere. */
public final class JsonUtil {

    /** Strict mapper for records; accepts comments, refuses unknown fields. */
    public static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .build();

    private JsonUtil() {}

    /** The JSON bytes of {@code value}. */
    public static byte[] toBytes(Object value) {
        return MAPPER.writeValueAsBytes(value);
    }

    /**
     * Reads a value that this system wrote itself.
     *
     * @throws IllegalStateException if the bytes are not what {@code type} is written as
     */
    public static <T> T fromBytes(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (JacksonException e) {
            throw new IllegalStateException("corrupt " + type.getSimpleName(), e);
        }
    }
}
