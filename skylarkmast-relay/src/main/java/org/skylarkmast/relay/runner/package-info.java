/**
 * Runners: which are there, how loaded and fast they are, and which one a request goes to.
 *
 * <p>{@link org.skylarkmast.relay.runner.RunnerChooser} decides and does no I/O.
 */
package org.skylarkmast.relay.runner;
