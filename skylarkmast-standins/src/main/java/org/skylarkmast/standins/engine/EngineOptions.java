package org.skylarkmast.standins.engine;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Options of a model engine.
 *
 * @param decodeTokensPerSecond speed of one stream while the batch is small enough for full speed
 * @param maxConcurrent maximum number of streams in the batch; as many more can wait
 * @param reportIntervalMs maximum age of load reports and delay of cache events, in ms
 * @param checksEpoch whether calls with a stale epoch are rejected
 * @param record file to which the start and the end of each call are appended
 */
public record EngineOptions(
        String name,
        String model,
        String version,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        long cacheTokens,
        int maxConcurrent,
        long reportIntervalMs,
        boolean checksEpoch,
        Optional<Path> record) {}
