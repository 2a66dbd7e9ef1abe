/**
 * Forwarding of one request: its turn's history and budget, the choice of runners, repetition where
 * it is allowed, and the answer back to the caller.
 */
package org.skylarkmast.relay.forward;
