/**
 * Forwarding of a request: reading its turn's history, reserving its token budget, choosing
 * runners, retrying where that is allowed, relaying the answer to the caller, and passing the
 * request on to another entry node while this one reaches no runner.
 */
package org.skylarkmast.relay.forward;
