/**
 * Generates load modelled on the product's users: seeded programs of dependent calls with tool
 * pauses, sub-agents and orders that may not be repeated.
 *
 * <p>State: the running programs of one run. Input: a profile and a seed. Output: each program's
 * {@link org.skylarkmast.bench.load.ProgramResult}.
 */
package org.skylarkmast.bench.load;
