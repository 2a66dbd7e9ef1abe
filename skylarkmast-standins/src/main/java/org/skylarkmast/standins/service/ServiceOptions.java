package org.skylarkmast.standins.service;

import java.nio.file.Path;
import java.util.Optional;

/**
 * What a plain service is.
 *
 * @param latencyMs time an operation takes
 * @param maxConcurrent calls worked on at once; more are answered 503
 * @param checksEpoch whether it refuses senders with an old epoch
 * @param lookup whether it tells by idempotency key if a call ran
 * @param record file of calls run
 */
public record ServiceOptions(
        String name,
        long latencyMs,
        int maxConcurrent,
        boolean checksEpoch,
        boolean lookup,
        Optional<Path> record) {}
