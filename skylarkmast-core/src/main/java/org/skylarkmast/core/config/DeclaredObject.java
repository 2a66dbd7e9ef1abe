package org.skylarkmast.core.config;

/**
 * An object with the location of its declaration, which problem reports refer to.
 *
 * @param source name of the file or other source that the object was read from
 * @param index zero-based position in the source's list, or {@link Problem#WHOLE_SOURCE} if it has
 *     none
 * @param object the object
 */
public record DeclaredObject(String source, int index, ConfigurationObject object) {

    /** Source of objects that are part of the configuration in force. */
    public static final String IN_FORCE = "in force";

    /** Wraps an object of the configuration in force. */
    public static DeclaredObject inForce(ConfigurationObject object) {
        return new DeclaredObject(IN_FORCE, Problem.WHOLE_SOURCE, object);
    }

    /** Creates a problem at {@code path} of this object. */
    public Problem problem(String path, String message) {
        return new Problem(source, index, object.objectName().toString(), path, message);
    }
}
