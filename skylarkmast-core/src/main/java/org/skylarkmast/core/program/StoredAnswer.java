package org.skylarkmast.core.program;

/** The stored answer of a completed request, returned to repeated requests with the same key. */
sealed interface StoredAnswer {

    /** Digest of the request's operation. */
    String digest();

    /** The summary that was sent with the answer. */
    TurnSummary summary();

    /** The answer of a model, kept in the history at {@code turnIndex}. */
    record ModelAnswer(String digest, int turnIndex, TurnSummary summary) implements StoredAnswer {}

    /** The answer of a service; {@code body} is null if it was too large to keep. */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record ServiceAnswer(
            String digest, int status, String contentType, byte[] body, TurnSummary summary)
            implements StoredAnswer {}
}
