/**
 * The administration port: operators' objects, status and programs, health checks and metrics.
 *
 * <p>State: none of its own. Messages in: HTTP requests of operators, probes and scrapers; out:
 * changes to publish and read-only views. Nothing here affects an individual caller's request.
 */
package org.skylarkmast.daemon.admin;
