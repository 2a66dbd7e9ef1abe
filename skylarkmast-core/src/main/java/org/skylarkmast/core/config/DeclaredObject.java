package org.skylarkmast.core.config;

/**
 * An object with the place it was declared at, so that problems can be located.
 *
 * @param source file name, or what else the object came from
 * @param index position in the source's list, from 0; {@link Problem#WHOLE_SOURCE} where it has
 *     none
 * @param object the object
 */
public record DeclaredObject(String source, int index, ConfigurationObject object) {

    /** Source of the objects that are in force already. */
    public static final String IN_FORCE = "in force";

    /** An object of the configuration in force. */
    public static DeclaredObject inForce(ConfigurationObject object) {
        return new DeclaredObject(IN_FORCE, Problem.WHOLE_SOURCE, object);
    }

    /** A problem at {@code path} of this object. */
    public Problem problem(String path, String message) {
        return new Problem(source, index, object.objectName().toString(), path, message);
    }
}
