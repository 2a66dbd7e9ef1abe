/**
 * Rate limits that runners state in their answers, kept over all entry nodes together.
 *
 * <p>State: {@link org.skylarkmast.relay.limit.RunnerRateLimits}, what each runner stated last, on
 * entry nodes; {@link org.skylarkmast.relay.limit.SendRateLimiter}, the sends granted so far, on
 * the storage node that grants them, and for an entry node's own share. Nothing is persisted.
 * Messages: {@link org.skylarkmast.relay.limit.SendRequest} and {@link
 * org.skylarkmast.relay.limit.SendGrant}; {@link org.skylarkmast.relay.limit.RateLimitReport}
 * travels with the load reports. Decisions: {@link org.skylarkmast.relay.limit.SendAdmission}.
 *
 * <p>Allowances of workspaces over all entry nodes: {@link
 * org.skylarkmast.relay.limit.AllowanceGranter} leases tokens on one storage node for each
 * workspace, {@link org.skylarkmast.relay.limit.QuotaAdmission} uses them on entry nodes. Nothing
 * is persisted. Messages: {@link org.skylarkmast.relay.limit.LeaseRequest} and {@link
 * org.skylarkmast.relay.limit.LeaseGrant}.
 */
package org.skylarkmast.relay.limit;
