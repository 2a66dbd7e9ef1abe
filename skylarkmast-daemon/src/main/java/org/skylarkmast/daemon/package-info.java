/** The daemon that runs on every entry host: it does the I/O that the core decides on. */
package org.skylarkmast.daemon;
