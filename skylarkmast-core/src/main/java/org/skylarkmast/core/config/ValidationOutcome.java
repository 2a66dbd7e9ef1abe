package org.skylarkmast.core.config;

import java.util.List;

/** The verdict on a whole set of objects. */
public sealed interface ValidationOutcome {

    /** The set may be put in force. */
    record Valid(Configuration configuration) implements ValidationOutcome {}

    /** The set must not be put in force; every problem is listed. */
    record Invalid(List<Problem> problems) implements ValidationOutcome {

        public Invalid {
            problems = List.copyOf(problems);
        }
    }
}
