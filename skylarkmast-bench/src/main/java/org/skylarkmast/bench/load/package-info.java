/**
 * Load in the shapes of the product's users: seeded programs of dependent calls with tool pauses,
 * sub-agents and orders that may not be repeated.
 *
 * <p>State: the programs under way in one run. Messages in: a profile and a seed; out: each
 * program's {@link org.skylarkmast.bench.load.ProgramResult}.
 */
package org.skylarkmast.bench.load;
