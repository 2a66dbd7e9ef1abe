package org.skylarkmast.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What sets one configuration apart from another, each list in the order of kind and name.
 *
 * @param added objects that only the later one has
 * @param changed objects that both have, with other fields
 * @param removed objects that only the earlier one has
 */
public record ConfigurationDiff(
        List<ObjectName> added, List<ObjectName> changed, List<ObjectName> removed) {

    public ConfigurationDiff {
        added = List.copyOf(added);
        changed = List.copyOf(changed);
        removed = List.copyOf(removed);
    }

    /** Compares the objects of two configurations; revisions are left out. */
    public static ConfigurationDiff between(Configuration earlier, Configuration later) {
        Map<ObjectName, ConfigurationObject> before = byName(earlier);
        Map<ObjectName, ConfigurationObject> after = byName(later);
        List<ObjectName> added = new ArrayList<>();
        List<ObjectName> changed = new ArrayList<>();
        after.forEach(
                (name, object) -> {
                    ConfigurationObject old = before.remove(name);
                    if (old == null) {
                        added.add(name);
                    } else if (!old.equals(object)) {
                        changed.add(name);
                    }
                });
        return new ConfigurationDiff(added, changed, List.copyOf(before.keySet()));
    }

    /** Whether both hold the same objects. */
    public boolean isEmpty() {
        return added.isEmpty() && changed.isEmpty() && removed.isEmpty();
    }

    private static Map<ObjectName, ConfigurationObject> byName(Configuration configuration) {
        Map<ObjectName, ConfigurationObject> byName = new TreeMap<>();
        configuration.objects().forEach(object -> byName.put(object.objectName(), object));
        return byName;
    }
}
