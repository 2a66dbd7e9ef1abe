package org.skylarkmast.core.config;

import java.util.Comparator;

/**
 * The kind and name of an object, which identify it: names are unique within a kind.
 *
 * @param kind kind of the object
 * @param name name of the object
 */
public record ObjectName(ObjectKind kind, String name) implements Comparable<ObjectName> {
    private static final Comparator<ObjectName> ORDER =
            Comparator.comparing(ObjectName::kind).thenComparing(ObjectName::name);

    @Override
    public int compareTo(ObjectName other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
