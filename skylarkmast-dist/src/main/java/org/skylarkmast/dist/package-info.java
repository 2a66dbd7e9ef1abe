/** The programs put together; its tests run them as separate processes. */
package org.skylarkmast.dist;
