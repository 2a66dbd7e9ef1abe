/** The log line layout shared by all processes. */
package org.skylarkmast.log;
