package org.skylarkmast.daemon.settings;

/**
 * One thing that is wrong with a settings file.
 *
 * @param path path of the field, such as {@code store.endpoints[0]}, or empty for the whole file
 * @param message what was expected, and what was found
 */
public record SettingsProblem(String path, String message) {

    @Override
    public String toString() {
        return path.isEmpty() ? message : path + ": " + message;
    }
}
