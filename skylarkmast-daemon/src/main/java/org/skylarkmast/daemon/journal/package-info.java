/**
 * The journal based on the key-value service: group commit, snapshots, replay, and copies of
 * records at peers.
 *
 * <p>{@link org.skylarkmast.daemon.journal.JournalWriter} holds the logs of the owned partitions;
 * {@link org.skylarkmast.daemon.journal.CopyStore} holds copies of other owners' records. Inputs
 * are records and snapshots; outputs are transactions, copies and {@link
 * org.skylarkmast.core.journal.AppendOutcome}s.
 */
package org.skylarkmast.daemon.journal;
