package org.skylarkmast.core.ownership;

import java.util.Optional;

/**
 * A conditional write that makes this node the owner of one partition.
 *
 * @param seenRevision revision of the ownership record that the claim replaces, or 0 if there was
 *     none
 * @param formerIncarnation owner named in that record, whose session must no longer exist
 * @param record ownership record to store
 */
public record ClaimRequest(
        int partition, long seenRevision, Optional<String> formerIncarnation, OwnerRecord record) {}
