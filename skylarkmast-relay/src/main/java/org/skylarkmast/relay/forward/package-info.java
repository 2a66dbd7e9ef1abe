/**
 * Forwarding of a request: reading its turn's history, reserving its token budget, choosing
 * runners, retrying where that is allowed, and relaying the answer to the caller.
 */
package org.skylarkmast.relay.forward;
