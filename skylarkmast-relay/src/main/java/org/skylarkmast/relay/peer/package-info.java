/**
 * Requests that an entry node passes on to another entry node while it reaches no runner itself.
 *
 * <p>State: {@link org.skylarkmast.relay.peer.RunnerReachability}, whether this node reaches any
 * runner, and {@link org.skylarkmast.relay.peer.PeerDirectory}, the entry nodes that do. Both are
 * in memory only and known again within about a second of a start.
 */
package org.skylarkmast.relay.peer;
