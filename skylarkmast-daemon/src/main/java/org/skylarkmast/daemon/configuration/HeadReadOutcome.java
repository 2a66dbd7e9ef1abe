package org.skylarkmast.daemon.configuration;

import org.skylarkmast.core.config.PublishPlan.StoredHead;

/** The result of reading the configuration head. */
public sealed interface HeadReadOutcome {

    /**
     * A configuration is published.
     *
     * @param stored the stored head
     * @param storeRevision revision of the key-value service at the time of the read
     */
    record Found(StoredHead stored, long storeRevision) implements HeadReadOutcome {}

    /** Nothing has been published yet. */
    record Absent(long storeRevision) implements HeadReadOutcome {}

    /** The key-value service did not answer. */
    record Unavailable(String reason) implements HeadReadOutcome {}

    /** The stored bytes are not a valid head. */
    record Corrupt() implements HeadReadOutcome {}
}
