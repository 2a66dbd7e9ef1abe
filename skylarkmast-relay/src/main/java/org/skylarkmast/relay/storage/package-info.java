/**
 * The storage node, which runs on hosts with a disk: an append-only log, an index of turns and
 * usages over it, and the sync between storage nodes that restores missing copies.
 */
package org.skylarkmast.relay.storage;
