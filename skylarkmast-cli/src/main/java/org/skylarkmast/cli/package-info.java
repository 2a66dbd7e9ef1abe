/**
 * The command-line tool of operators: declares and revises objects, and looks at the system.
 *
 * <p>State: none. Messages: requests to the administration ports of the daemons. Nothing here
 * steers a single request of a caller.
 */
package org.skylarkmast.cli;
