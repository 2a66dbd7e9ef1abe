/**
 * Routes, services and callers' limits as declared by operators, and the current version of them.
 *
 * <p>A process never reverts to an older version.
 */
package org.skylarkmast.relay.route;
