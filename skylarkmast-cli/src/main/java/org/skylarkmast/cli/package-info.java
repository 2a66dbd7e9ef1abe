/**
 * The command-line tool for operators: publishes configuration objects and shows the state of the
 * system.
 *
 * <p>State: none. Messages: requests to the administration ports of the daemons. The tool takes no
 * part in handling the requests of callers.
 */
package org.skylarkmast.cli;
