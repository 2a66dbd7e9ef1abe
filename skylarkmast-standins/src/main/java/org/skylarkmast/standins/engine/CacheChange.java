package org.skylarkmast.standins.engine;

/**
 * A change to the prefix cache.
 *
 * @param cachedTokens number of tokens now cached for the program; 0 after an eviction
 */
record CacheChange(String program, int cachedTokens) {}
