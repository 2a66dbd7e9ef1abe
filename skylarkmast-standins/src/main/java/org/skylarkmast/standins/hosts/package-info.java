/**
 * Stand-in for the host list of the platform.
 *
 * <p>It keeps the list that was last put and the list that it serves, which differ while the fault
 * {@code freeze} is active.
 */
package org.skylarkmast.standins.hosts;
