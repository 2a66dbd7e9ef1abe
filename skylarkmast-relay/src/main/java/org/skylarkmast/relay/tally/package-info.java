/**
 * What the fleet learned about runners: entry nodes report what they saw, keepers add it up in
 * memory, and every entry node gets the sum.
 *
 * <p>State: {@link org.skylarkmast.relay.tally.TallyBook}, lost with its process and learned again
 * within seconds. Messages: {@link org.skylarkmast.relay.tally.RunnerTally} both ways.
 */
package org.skylarkmast.relay.tally;
