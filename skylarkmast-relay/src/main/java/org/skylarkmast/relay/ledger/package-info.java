/**
 * The ledger of turns and spent tokens as its users see it: records, quorum rules and the client.
 *
 * <p>Every keeper of the view in force holds every record. A write counts once a quorum has it on
 * disk; any two quorums share a keeper, so a later quorum sees it. See
 * docs/pages/design/platform.md.
 */
package org.skylarkmast.relay.ledger;
