package org.skylarkmast.standins.engine;

/** A load report of an engine: running and waiting calls, and tokens in its cache. */
record EngineLoad(int running, int waiting, long cacheUsedTokens, long cacheCapacityTokens) {}
