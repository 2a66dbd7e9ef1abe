package org.skylarkmast.core.config;

import java.util.List;

/** The result of parsing declared objects. */
public sealed interface ParseOutcome {

    /** All objects are well formed; references between them have not been validated. */
    record Parsed(List<DeclaredObject> objects) implements ParseOutcome {

        public Parsed {
            objects = List.copyOf(objects);
        }
    }

    /** The text is not a list of well-formed objects; every problem is listed. */
    record Rejected(List<Problem> problems) implements ParseOutcome {

        public Rejected {
            problems = List.copyOf(problems);
        }
    }
}
