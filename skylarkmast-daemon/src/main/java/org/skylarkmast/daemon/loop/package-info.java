/**
 * Event loops: single threads that own state and run the tasks that other threads submit.
 *
 * <p>State: the task queue. Messages in: tasks.
 */
package org.skylarkmast.daemon.loop;
