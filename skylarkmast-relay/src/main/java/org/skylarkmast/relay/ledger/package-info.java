/**
 * The client side of the ledger of turns and token usage: records, quorum rules and the client.
 *
 * <p>Every storage node of the current view holds a copy of every record. A write is acknowledged
 * once a quorum has it on disk. Any two quorums share a storage node, so a later read from a quorum
 * sees the write. See docs/pages/design/platform.md.
 */
package org.skylarkmast.relay.ledger;
