/**
 * The objects that operators declare: data types, parsing, validation, and the stored form of a
 * published configuration.
 *
 * <p>State: the configuration in force, one {@link org.skylarkmast.core.config.Configuration} with
 * a revision that only increases. Input: a change to publish, or a revision read from the key-value
 * service or from a peer. Output: the new configuration, or the problems found.
 */
package org.skylarkmast.core.config;
