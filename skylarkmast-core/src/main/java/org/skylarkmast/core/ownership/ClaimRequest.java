package org.skylarkmast.core.ownership;

import java.util.Optional;

/**
 * A claim of one partition.
 *
 * @param seenRevision revision of the record that the claim replaces, or 0 if there was none
 * @param formerIncarnation owner in that record, whose session must be gone
 * @param record what to store
 */
public record ClaimRequest(
        int partition, long seenRevision, Optional<String> formerIncarnation, OwnerRecord record) {}
