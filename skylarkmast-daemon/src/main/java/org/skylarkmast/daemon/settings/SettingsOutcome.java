package org.skylarkmast.daemon.settings;

import java.util.List;

/** What became of reading a settings file. */
public sealed interface SettingsOutcome {

    /** The settings can be used; defaults are filled in. */
    record Valid(Settings settings) implements SettingsOutcome {}

    /** The process cannot start with them; every problem is listed. */
    record Invalid(List<SettingsProblem> problems) implements SettingsOutcome {

        public Invalid {
            problems = List.copyOf(problems);
        }
    }
}
