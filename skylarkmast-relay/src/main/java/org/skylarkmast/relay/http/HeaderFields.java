package org.skylarkmast.relay.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The header fields of a message in order; names are compared ignoring case. Immutable. */
public record HeaderFields(List<Field> fields) {

    /** No fields. */
    public static final HeaderFields NONE = new HeaderFields(List.of());

    public HeaderFields {
        fields = List.copyOf(fields);
    }

    /** One field line. */
    public record Field(String name, String value) {}

    /** Returns the value of the first field {@code name}, or null if there is none. */
    public String first(String name) {
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return field.value();
            }
        }
        return null;
    }

    /** Returns the values of the fields {@code name} in order. */
    public List<String> values(String name) {
        return fields.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(Field::value)
                .toList();
    }

    /** Returns the number of fields {@code name}. */
    public int count(String name) {
        return values(name).size();
    }

    /**
     * Returns whether a comma-separated field {@code name} contains {@code token}, ignoring case.
     */
    public boolean containsToken(String name, String token) {
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                for (String element : field.value().split(",", -1)) {
                    if (element.strip().equalsIgnoreCase(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Returns a copy without the fields whose lower-case name is in {@code lowerCaseNames}. */
    public HeaderFields without(Set<String> lowerCaseNames) {
        List<Field> remaining = new ArrayList<>(fields.size());
        for (Field field : fields) {
            if (!lowerCaseNames.contains(field.name().toLowerCase(java.util.Locale.ROOT))) {
                remaining.add(field);
            }
        }
        return new HeaderFields(remaining);
    }

    /** Returns a copy with one field appended. */
    public HeaderFields with(String name, String value) {
        List<Field> extended = new ArrayList<>(fields);
        extended.add(new Field(name, value));
        return new HeaderFields(extended);
    }
}
