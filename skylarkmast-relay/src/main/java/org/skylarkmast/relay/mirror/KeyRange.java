package org.skylarkmast.relay.mirror;

/**
 * A range of keys of the key-value service.
 *
 * @param from first key, inclusive
 * @param to end of the range, exclusive
 */
public record KeyRange(String from, String to) {}
