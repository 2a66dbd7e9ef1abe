/** Load profiles, benchmarks and the history checker. */
package org.skylarkmast.bench;
