/**
 * Publishes the operators' configuration through the key-value service and keeps this node's copy
 * up to date.
 *
 * <p>State: the configuration in force here, which only moves to higher revisions, and its copy in
 * the data folder. Messages in: changes of operators, heads read or watched at the key-value
 * service, snapshots of peers; out: {@link org.skylarkmast.core.config.PublishOutcome} and every
 * newly accepted {@link org.skylarkmast.core.config.Configuration}.
 */
package org.skylarkmast.daemon.configuration;
