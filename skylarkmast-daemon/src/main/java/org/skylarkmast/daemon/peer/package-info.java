/**
 * The gRPC protocol between daemons: forwarded calls, heartbeats, copies of journal records and
 * configuration.
 *
 * <p>Holds one channel per peer. The messages are defined in {@code peer.proto}.
 */
package org.skylarkmast.daemon.peer;
