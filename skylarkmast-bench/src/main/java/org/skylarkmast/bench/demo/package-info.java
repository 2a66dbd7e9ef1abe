/**
 * The demonstration: one program of several turns over three daemons.
 *
 * <p>State: the messages so far, kept to check what the daemons say. Messages: callers' requests.
 */
package org.skylarkmast.bench.demo;
