package org.skylarkmast.bench.cluster;

import java.nio.file.Path;

/**
 * One stand-in runner of a target.
 *
 * @param record file to which it appends the calls that it ran
 */
public record Runner(String name, String failureDomain, String address, Path record) {}
