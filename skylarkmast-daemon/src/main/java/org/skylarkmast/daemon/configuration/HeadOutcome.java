package org.skylarkmast.daemon.configuration;

import org.skylarkmast.core.config.PublishPlan.StoredHead;

/** What a read of the configuration's head found. */
public sealed interface HeadOutcome {

    /**
     * A configuration is published.
     *
     * @param stored its head
     * @param storeRevision the service's revision at the read
     */
    record Found(StoredHead stored, long storeRevision) implements HeadOutcome {}

    /** Nothing has been published yet. */
    record Absent(long storeRevision) implements HeadOutcome {}

    /** The service did not answer. */
    record Unavailable(String reason) implements HeadOutcome {}

    /** The stored bytes are not a head. */
    record Corrupt() implements HeadOutcome {}
}
