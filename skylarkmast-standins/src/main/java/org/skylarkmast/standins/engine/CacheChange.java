package org.skylarkmast.standins.engine;

/**
 * A change of the prefix cache.
 *
 * @param cachedTokens what is held for the program now; 0 after an eviction
 */
record CacheChange(String program, int cachedTokens) {}
