/**
 * What the engines are believed to hold in their prefix caches, and what they have to drop.
 *
 * <p>State: {@link org.skylarkmast.core.scheduling.cache.PrefixBeliefs} and {@link
 * org.skylarkmast.core.scheduling.cache.PendingReleases}, one each per scheduler. No messages of
 * its own; the scheduler calls it from its event loop.
 */
package org.skylarkmast.core.scheduling.cache;
