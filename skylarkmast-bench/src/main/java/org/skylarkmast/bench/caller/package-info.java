/**
 * A caller of the product: sends requests over the callers' API, sends them again by other hosts,
 * and tells the history what it sent and received.
 *
 * <p>State: connections only. Messages in: {@link org.skylarkmast.bench.caller.CallerRequest}s;
 * out: {@link org.skylarkmast.bench.caller.CallerOutcome}s.
 */
package org.skylarkmast.bench.caller;
