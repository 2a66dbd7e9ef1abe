/**
 * The ledger of turns and spent tokens as its users see it: records, quorum rules and the client.
 *
 * <p>Every storage node of the view in force holds every record. A write counts once a quorum has
 * it on disk; any two quorums share a storage node, so a later quorum sees it. See
 * docs/pages/design/platform.md.
 */
package org.skylarkmast.relay.ledger;
