/**
 * Routes, services and callers' limits as operators declare them, and the version in force.
 *
 * <p>A process never goes back to an older version.
 */
package org.skylarkmast.relay.route;
