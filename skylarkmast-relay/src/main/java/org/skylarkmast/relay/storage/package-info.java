/**
 * The storage node, which runs on hosts with a disk: an append-only log, an index of turns and
 * budgets over it, and the exchange between storage nodes that restores missing copies.
 */
package org.skylarkmast.relay.storage;
