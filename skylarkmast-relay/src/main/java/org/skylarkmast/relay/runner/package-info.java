/**
 * Registered runners, statistics about their load, speed and failures, and the choice of a runner
 * for a request.
 *
 * <p>{@link org.skylarkmast.relay.runner.RunnerChooser} makes the choice and does no I/O.
 */
package org.skylarkmast.relay.runner;
