package org.skylarkmast.core.config;

import java.util.List;

/** The result of validating a complete set of objects. */
public sealed interface ValidationOutcome {

    /** The objects form a valid configuration. */
    record Valid(Configuration configuration) implements ValidationOutcome {}

    /** The objects do not form a valid configuration; every problem is listed. */
    record Invalid(List<Problem> problems) implements ValidationOutcome {

        public Invalid {
            problems = List.copyOf(problems);
        }
    }
}
