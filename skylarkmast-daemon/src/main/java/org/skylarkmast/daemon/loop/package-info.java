/**
 * Event loops: one thread that owns a piece of state, to which others send tasks.
 *
 * <p>State: the queue of tasks. Messages: tasks.
 */
package org.skylarkmast.daemon.loop;
