/**
 * The operators' objects: their shapes, the check of a whole set, publishing and spread.
 *
 * <p>State: the configuration in force, one {@link org.skylarkmast.core.config.Configuration} with
 * a revision that only grows. Messages in: a set to publish, a revision seen at the key-value
 * service or a peer; out: the new configuration, or the problems found.
 */
package org.skylarkmast.core.config;
