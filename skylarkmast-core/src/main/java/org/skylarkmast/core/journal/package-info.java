/**
 * The lasting record of every partition, kept in the key-value service.
 *
 * <p>State: the records waiting for the next group commit, and each partition's next sequence.
 * Messages in: records and snapshots of partitions; out: {@link
 * org.skylarkmast.core.journal.AppendOutcome}. Records are opaque here.
 */
package org.skylarkmast.core.journal;
