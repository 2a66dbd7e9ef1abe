/**
 * Stand-in for a plain service: runs any operation and records each execution.
 *
 * <p>It keeps the number of running calls and the answers of the calls that ran, and serves calls,
 * look-ups by idempotency key, load metrics and fault injection over HTTP.
 */
package org.skylarkmast.standins.service;
