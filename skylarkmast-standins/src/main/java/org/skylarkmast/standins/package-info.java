/** Stand-ins for the services of the platform and for targets; each runs as a process. */
package org.skylarkmast.standins;
