package org.skylarkmast.standins.service;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Options of a plain service.
 *
 * @param latencyMs duration of an operation in ms
 * @param maxConcurrent maximum number of concurrent calls; further calls are answered 503
 * @param checksEpoch whether calls with a stale epoch are rejected
 * @param lookup whether callers can look up by idempotency key if a call ran
 * @param record file to which each call that ran is appended
 */
public record ServiceOptions(
        String name,
        long latencyMs,
        int maxConcurrent,
        boolean checksEpoch,
        boolean lookup,
        Optional<Path> record) {}
