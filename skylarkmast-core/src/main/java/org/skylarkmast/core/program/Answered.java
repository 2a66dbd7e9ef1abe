package org.skylarkmast.core.program;

/** The stored answer to a request that ended well, given again to whoever sends the same key. */
sealed interface Answered {

    /** Digest of the request's operation. */
    String digest();

    /** What was told beside the answer. */
    TurnSummary summary();

    /** The answer is in the history. */
    record ByModel(String digest, int turnIndex, TurnSummary summary) implements Answered {}

    /** The answer of a service; {@code body} is null if it was too large to keep. */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record ByService(
            String digest, int status, String contentType, byte[] body, TurnSummary summary)
            implements Answered {}
}
