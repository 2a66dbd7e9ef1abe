package org.skylarkmast.relay.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The header fields of a message, in order; names compare without case. Immutable. */
public record HeaderFields(List<Field> fields) {

    /** No fields. */
    public static final HeaderFields NONE = new HeaderFields(List.of());

    public HeaderFields {
        fields = List.copyOf(fields);
    }

    /** One field as it was received. */
    public record Field(String name, String value) {}

    /** The first value of {@code name}, or null. */
    public String first(String name) {
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return field.value();
            }
        }
        return null;
    }

    /** How often {@code name} occurs. */
    public int count(String name) {
        int count = 0;
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                count++;
            }
        }
        return count;
    }

    /** Whether the comma-separated list {@code name} holds {@code token}. */
    public boolean lists(String name, String token) {
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                for (String part : field.value().split(",", -1)) {
                    if (part.strip().equalsIgnoreCase(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** These fields without those of {@code lowerCaseNames}. */
    public HeaderFields without(Set<String> lowerCaseNames) {
        List<Field> kept = new ArrayList<>(fields.size());
        for (Field field : fields) {
            if (!lowerCaseNames.contains(field.name().toLowerCase(java.util.Locale.ROOT))) {
                kept.add(field);
            }
        }
        return new HeaderFields(kept);
    }

    /** These fields and one more. */
    public HeaderFields with(String name, String value) {
        List<Field> more = new ArrayList<>(fields);
        more.add(new Field(name, value));
        return new HeaderFields(more);
    }
}
