/** Small stand-ins of the platform and of targets, runnable as processes. */
package org.skylarkmast.standins;
