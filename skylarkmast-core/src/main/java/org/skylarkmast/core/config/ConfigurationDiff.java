package org.skylarkmast.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The differences between two configurations; each list is ordered by kind and name.
 *
 * @param added objects that exist only in the later configuration
 * @param changed objects that exist in both, with different fields
 * @param removed objects that exist only in the earlier configuration
 */
public record ConfigurationDiff(
        List<ObjectName> added, List<ObjectName> changed, List<ObjectName> removed) {

    public ConfigurationDiff {
        added = List.copyOf(added);
        changed = List.copyOf(changed);
        removed = List.copyOf(removed);
    }

    /** Compares the objects of two configurations, but not their revisions. */
    public static ConfigurationDiff between(Configuration earlier, Configuration later) {
        Map<ObjectName, ConfigurationObject> before = objectsByName(earlier);
        Map<ObjectName, ConfigurationObject> after = objectsByName(later);
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

    /** Whether both configurations have the same objects. */
    public boolean isEmpty() {
        return added.isEmpty() && changed.isEmpty() && removed.isEmpty();
    }

    private static Map<ObjectName, ConfigurationObject> objectsByName(Configuration configuration) {
        Map<ObjectName, ConfigurationObject> objectsByName = new TreeMap<>();
        configuration.objects().forEach(object -> objectsByName.put(object.objectName(), object));
        return objectsByName;
    }
}
