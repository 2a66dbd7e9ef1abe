/**
 * Assembles a daemon: creates its components, starts, drains and stops them.
 *
 * <p>State: the components. Messages: none of its own.
 */
package org.skylarkmast.daemon.node;
