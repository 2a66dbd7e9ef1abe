/** The layout of log lines, shared by all programs. */
package org.skylarkmast.log;
