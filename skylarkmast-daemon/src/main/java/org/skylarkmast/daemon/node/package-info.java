/**
 * Puts a daemon together: builds the slices, starts them, drains and stops them.
 *
 * <p>State: the parts. Messages: none of its own.
 */
package org.skylarkmast.daemon.node;
