package org.skylarkmast.daemon.configuration;

import java.util.List;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Problem;

/** The result of loading a published configuration. */
public sealed interface LoadOutcome {

    /** The configuration was read and is valid. */
    record Loaded(Configuration configuration) implements LoadOutcome {}

    /** Chunks were deleted after the head was read; a newer head exists and has to be read. */
    record Superseded() implements LoadOutcome {}

    /** The key-value service did not answer. */
    record Unavailable(String reason) implements LoadOutcome {}

    /** The stored objects are not a valid configuration; a newer release may have written them. */
    record Unusable(List<Problem> problems) implements LoadOutcome {

        public Unusable {
            problems = List.copyOf(problems);
        }
    }
}
