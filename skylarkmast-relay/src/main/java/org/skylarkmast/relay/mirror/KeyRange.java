package org.skylarkmast.relay.mirror;

/**
 * A range of keys.
 *
 * @param from first key
 * @param to key after the last
 */
public record KeyRange(String from, String to) {}
