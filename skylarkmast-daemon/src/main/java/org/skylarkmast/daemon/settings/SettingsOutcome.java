package org.skylarkmast.daemon.settings;

import java.util.List;

/** Result of reading a settings file. */
public sealed interface SettingsOutcome {

    /** The settings are valid; defaults are applied. */
    record Valid(Settings settings) implements SettingsOutcome {}

    /** The settings are invalid; all problems are listed. */
    record Invalid(List<SettingsProblem> problems) implements SettingsOutcome {

        public Invalid {
            problems = List.copyOf(problems);
        }
    }
}
