/** The command-line tool of operators. */
package org.skylarkmast.cli;
