/** The assembled distribution; its tests run the programs as separate processes. */
package org.skylarkmast.dist;
