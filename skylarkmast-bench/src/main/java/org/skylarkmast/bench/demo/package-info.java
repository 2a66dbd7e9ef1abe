/**
 * The demonstration: one program of several turns, served by three daemons.
 *
 * <p>State: the messages so far, against which the daemons' answers are checked. Input: the
 * daemons' answers. Output: callers' requests.
 */
package org.skylarkmast.bench.demo;
