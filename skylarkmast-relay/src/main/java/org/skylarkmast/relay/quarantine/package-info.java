/**
 * Requests that end the runners that begin them, found out and kept away from runners by all entry
 * nodes together.
 *
 * <p>State: {@link org.skylarkmast.relay.quarantine.Quarantine} on entry nodes; {@link
 * org.skylarkmast.relay.quarantine.CrashReports}, which merges the reports of all nodes, on storage
 * nodes. Nothing is persisted: entry nodes report what they observed until it is too old. Messages
 * in: the end of a runner with its {@link org.skylarkmast.relay.quarantine.Suspect suspects},
 * completions, and the {@link org.skylarkmast.relay.quarantine.QuarantineReport} of other nodes,
 * which travels with the load reports; out: {@link
 * org.skylarkmast.relay.quarantine.QuarantineDecision}. Decisions: {@link
 * org.skylarkmast.relay.quarantine.CrashAttribution}. No I/O; the clock is passed in.
 */
package org.skylarkmast.relay.quarantine;
