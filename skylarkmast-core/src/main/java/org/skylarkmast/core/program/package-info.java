/**
 * Programs: the order of their calls, history, budget, sub-agents, duplicate requests and end.
 *
 * <p>State: all live programs of one partition. Messages in: callers' requests, and the outcomes of
 * appended records and scheduled calls; out: records to append, calls to schedule and send, events
 * for callers. One instance per partition, owned by one event loop; no I/O.
 */
package org.skylarkmast.core.program;
