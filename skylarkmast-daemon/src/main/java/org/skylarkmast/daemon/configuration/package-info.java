/**
 * Publishes the operators' configuration through the key-value service and keeps this node's copy
 * up to date.
 *
 * <p>State: the configuration in force on this node, whose revision only increases, and its copy in
 * the data folder. Input: changes by operators, heads read from or watched at the key-value
 * service, and snapshots from peers. Output: {@link org.skylarkmast.core.config.PublishOutcome} and
 * every newly accepted {@link org.skylarkmast.core.config.Configuration}.
 */
package org.skylarkmast.daemon.configuration;
