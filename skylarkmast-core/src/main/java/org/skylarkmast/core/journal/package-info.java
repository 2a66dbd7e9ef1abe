/**
 * The journal of every partition, stored in the key-value service.
 *
 * <p>State: the records waiting for the next group commit, and the next sequence of each partition.
 * Input: records and snapshots of partitions. Output: {@link
 * org.skylarkmast.core.journal.AppendOutcome}. The content of records is opaque to this package.
 */
package org.skylarkmast.core.journal;
