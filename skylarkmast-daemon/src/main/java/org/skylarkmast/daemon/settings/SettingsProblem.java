package org.skylarkmast.daemon.settings;

/**
 * One error in a settings file.
 *
 * @param path path of the field, such as {@code store.endpoints[0]}, or empty for the whole file
 * @param message expected and actual value
 */
public record SettingsProblem(String path, String message) {

    @Override
    public String toString() {
        return path.isEmpty() ? message : path + ": " + message;
    }
}
