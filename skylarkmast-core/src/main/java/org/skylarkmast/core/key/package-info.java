/** Keys that identify programs. */
package org.skylarkmast.core.key;
