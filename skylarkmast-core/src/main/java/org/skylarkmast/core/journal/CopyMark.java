package org.skylarkmast.core.journal;

/**
 * Permits peers to drop copies of a partition's records that are committed.
 *
 * @param epoch epoch of the owner that committed the records; copies of later epochs are kept
 * @param sequence sequence of the last committed record
 */
public record CopyMark(int partition, long epoch, long sequence) {}
