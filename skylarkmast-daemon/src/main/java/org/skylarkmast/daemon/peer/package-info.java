/**
 * The protocol between daemons: forwarded calls, heartbeats, copies and configuration.
 *
 * <p>State: one channel per peer. Messages: those of {@code peer.proto}.
 */
package org.skylarkmast.daemon.peer;
