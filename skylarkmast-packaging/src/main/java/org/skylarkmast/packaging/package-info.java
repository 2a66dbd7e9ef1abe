/**
 * Prepares compiled classes for programs that start quickly; used by the build of the platform's
 * nodes.
 */
package org.skylarkmast.packaging;
