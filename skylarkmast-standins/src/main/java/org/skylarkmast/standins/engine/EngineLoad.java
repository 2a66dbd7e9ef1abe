package org.skylarkmast.standins.engine;

/** What an engine reports of its load. */
record EngineLoad(int running, int waiting, long cacheUsedTokens, long cacheCapacityTokens) {}
