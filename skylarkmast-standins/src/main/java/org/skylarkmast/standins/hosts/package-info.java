/**
 * The platform's host list as a stand-in.
 *
 * <p>State: the list as set and as shown. Messages in: lists; out: the list that lags or is frozen.
 */
package org.skylarkmast.standins.hosts;
