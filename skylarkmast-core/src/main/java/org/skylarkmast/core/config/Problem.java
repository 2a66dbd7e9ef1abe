package org.skylarkmast.core.config;

/**
 * One error in declared objects.
 *
 * @param source name of the file or other source that the objects were read from
 * @param index zero-based position of the object in the source's list, or {@link #WHOLE_SOURCE}
 * @param object the object as {@code kind/name}, with {@code ?} for an unknown part, or empty
 * @param path path of the field within the object, such as {@code runners[0].address}, or empty
 * @param message what was expected and what was found
 */
public record Problem(String source, int index, String object, String path, String message) {

    /** Index of a problem that concerns no single position in a list. */
    public static final int WHOLE_SOURCE = -1;

    /** Creates a problem that concerns a source as a whole. */
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
