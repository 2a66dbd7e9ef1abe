/**
 * The plain service's stand-in: runs any operation and records each run.
 *
 * <p>State: calls under way and the answers of calls that ran. Messages in: calls of the service
 * protocol; out: answers, lookups, load.
 */
package org.skylarkmast.standins.service;
