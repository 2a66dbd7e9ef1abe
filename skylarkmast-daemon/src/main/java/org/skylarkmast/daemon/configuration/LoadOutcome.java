package org.skylarkmast.daemon.configuration;

import java.util.List;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Problem;

/** What became of reading a published configuration. */
public sealed interface LoadOutcome {

    /** The configuration is read and valid. */
    record Loaded(Configuration configuration) implements LoadOutcome {}

    /** Chunks have been removed meanwhile; the head has moved on and is to be read again. */
    record Superseded() implements LoadOutcome {}

    /** The service did not answer. */
    record Unavailable(String reason) implements LoadOutcome {}

    /** What is stored is not a valid configuration, perhaps one of a newer release. */
    record Unusable(List<Problem> problems) implements LoadOutcome {

        public Unusable {
            problems = List.copyOf(problems);
        }
    }
}
