/**
 * Rate limits that runners state in their answers.
 *
 * <p>State: {@link org.skylarkmast.relay.limit.RunnerRateLimits}, what each runner stated last.
 */
package org.skylarkmast.relay.limit;
