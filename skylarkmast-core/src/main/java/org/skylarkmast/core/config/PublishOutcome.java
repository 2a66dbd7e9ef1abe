package org.skylarkmast.core.config;

import java.util.List;

/** What became of a change that was to be published. */
public sealed interface PublishOutcome {

    /**
     * The change is published.
     *
     * @param revision the revision it made, or the one in force if it changed nothing
     */
    record Published(long revision) implements PublishOutcome {}

    /**
     * The change is valid; a dry run publishes nothing.
     *
     * @param revision the revision it is based on
     * @param diff what it would change
     */
    record Checked(long revision, ConfigurationDiff diff) implements PublishOutcome {}

    /** Another writer was first; nothing was changed. */
    record Conflict(long baseRevision, long revisionInForce) implements PublishOutcome {}

    /** The whole set would be invalid; nothing was changed. */
    record Invalid(List<Problem> problems) implements PublishOutcome {

        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /** The key-value service cannot be reached or is slow; nothing was changed. */
    record Unavailable(String reason) implements PublishOutcome {}

    /**
     * The key-value service stopped answering after the change was sent; it may take effect yet.
     *
     * @param writeId repeating the request with this id is idempotent and settles it
     */
    record Unknown(String writeId, String reason) implements PublishOutcome {}
}
