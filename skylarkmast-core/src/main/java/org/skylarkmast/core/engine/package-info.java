/**
 * Model engines as seen by the scheduler: cache events, load reports, cache releases and load
 * orders, which carry an epoch.
 *
 * <p>State: for each engine the last event processed, the releases not yet confirmed and the epochs
 * of refused orders. Input: events, reports, and answers to orders and releases. Output: orders and
 * releases to send.
 */
package org.skylarkmast.core.engine;
