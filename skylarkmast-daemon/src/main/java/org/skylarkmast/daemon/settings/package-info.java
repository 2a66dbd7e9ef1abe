/**
 * Settings that a process reads at its start: its name, addresses, failure domain and limits.
 *
 * <p>State: none. Messages in: a JSON file with comments; out: {@link
 * org.skylarkmast.daemon.settings.SettingsOutcome}. The JSON schema in the resources holds every
 * field's range and default.
 */
package org.skylarkmast.daemon.settings;
