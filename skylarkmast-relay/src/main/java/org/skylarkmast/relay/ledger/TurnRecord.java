package org.skylarkmast.relay.ledger;

/**
 * A completed turn; immutable once written.
 *
 * @param id the request id of the attempt that completed it
 * @param previous id of the turn it continues from, empty at the start of a chain
 * @param input the input the caller sent
 * @param output the data of the output events, each followed by a line feed
 * @param retentionMs how long the record is kept
 */
@SuppressWarnings("ArrayRecordComponent") // texts are opaque and never compared
public record TurnRecord(
        String id, String previous, byte[] input, byte[] output, long retentionMs) {}
