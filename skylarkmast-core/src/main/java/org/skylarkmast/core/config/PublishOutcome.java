package org.skylarkmast.core.config;

import java.util.List;

/** The result of publishing a change. */
public sealed interface PublishOutcome {

    /**
     * The change is published.
     *
     * @param revision the new revision, or the current one if the change made no difference
     */
    record Published(long revision) implements PublishOutcome {}

    /**
     * The change is valid, but was not published because the request was a dry run.
     *
     * @param revision the revision that the change is based on
     * @param diff the differences that the change would make
     */
    record Checked(long revision, ConfigurationDiff diff) implements PublishOutcome {}

    /**
     * The configuration in force is not the one that the change is based on; nothing was changed.
     */
    record Conflict(long baseRevision, long revisionInForce) implements PublishOutcome {}

    /** The resulting configuration would be invalid; nothing was changed. */
    record Invalid(List<Problem> problems) implements PublishOutcome {

        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /** The key-value service is unreachable or slow; nothing was changed. */
    record Unavailable(String reason) implements PublishOutcome {}

    /**
     * The answer of the key-value service was lost after the change was sent; the change may or may
     * not take effect.
     *
     * @param writeId id with which the request can be repeated; the repetition is idempotent and
     *     determines the result
     */
    record Unknown(String writeId, String reason) implements PublishOutcome {}
}
