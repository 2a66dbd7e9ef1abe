/**
 * Estimates of the contents of the engines' prefix caches, and the releases that engines have to
 * perform.
 *
 * <p>State: {@link org.skylarkmast.core.scheduling.cache.PrefixEstimates} and {@link
 * org.skylarkmast.core.scheduling.cache.PendingReleases}, one each per scheduler. No messages of
 * its own; the scheduler calls it from its event loop.
 */
package org.skylarkmast.core.scheduling.cache;
