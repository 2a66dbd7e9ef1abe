/**
 * A caller of the product: sends requests over the callers' API, retries them at other hosts and
 * records in the history what it sent and received.
 *
 * <p>State: connections only. Input: {@link org.skylarkmast.bench.caller.CallerRequest}s. Output:
 * {@link org.skylarkmast.bench.caller.CallerOutcome}s.
 */
package org.skylarkmast.bench.caller;
