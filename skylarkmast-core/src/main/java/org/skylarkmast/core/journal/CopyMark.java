package org.skylarkmast.core.journal;

/**
 * Says that copies are no longer needed: the partition's records are committed.
 *
 * @param epoch epoch of the owner that committed them; copies of later epochs are not meant
 * @param sequence last committed record
 */
public record CopyMark(int partition, long epoch, long sequence) {}
