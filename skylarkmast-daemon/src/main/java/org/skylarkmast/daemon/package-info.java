/**
 * The daemon that runs on every entry host; performs the I/O that the core's decisions call for.
 */
package org.skylarkmast.daemon;
