package org.skylarkmast.core.config;

/**
 * One thing that is wrong with declared objects.
 *
 * @param source file name, or what else the objects came from
 * @param index position of the object in the source's list, from 0, or {@link #WHOLE_SOURCE}
 * @param object the object as {@code kind/name}, as far as known, or empty
 * @param path path of the field below the object, such as {@code runners[0].address}, or empty
 * @param message what was expected, and what was found
 */
public record Problem(String source, int index, String object, String path, String message) {

    /** Index of a problem that belongs to no position in a list. */
    public static final int WHOLE_SOURCE = -1;

    /** A problem with a source as a whole. */
    public static Problem ofSource(String source, String message) {
        return new Problem(source, WHOLE_SOURCE, "", "", message);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(source);
        if (index != WHOLE_SOURCE) {
            text.append('[').append(index).append(']');
        }
        if (!object.isEmpty()) {
            text.append(": ").append(object);
        }
        if (!path.isEmpty()) {
            text.append(": ").append(path);
        }
        return text.append(": ").append(message).toString();
    }
}
