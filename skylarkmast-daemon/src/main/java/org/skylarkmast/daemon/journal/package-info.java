/**
 * The journal on the key-value service: group commit, snapshots, replay, and copies at peers.
 *
 * <p>State: {@link org.skylarkmast.daemon.journal.JournalWriter} the logs of owned partitions,
 * {@link org.skylarkmast.daemon.journal.CopyStore} what is kept for others. Messages in: records
 * and snapshots; out: transactions, copies and {@link org.skylarkmast.core.journal.AppendOutcome}s.
 */
package org.skylarkmast.daemon.journal;
