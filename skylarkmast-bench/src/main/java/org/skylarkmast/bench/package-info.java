/** Load profiles, benches and the history checker. */
package org.skylarkmast.bench;
