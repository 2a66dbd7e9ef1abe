package org.skylarkmast.standins.engine;

import java.nio.file.Path;
import java.util.Optional;

/**
 * What an engine is.
 *
 * @param decodeTokensPerSecond speed of one stream while the batch is small
 * @param maxConcurrent streams in the batch; as many again may wait
 * @param reportIntervalMs age of load reports and delay of cache events
 * @param checksEpoch whether it refuses senders with an old epoch
 * @param record file of calls started and ended
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
