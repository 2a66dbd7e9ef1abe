package org.skylarkmast.bench.cluster;

import java.nio.file.Path;

/**
 * A stand-in for one runner of a target.
 *
 * @param recordFile file to which the runner appends the calls that it ran
 */
public record Runner(String name, String failureDomain, String address, Path recordFile) {}
