package org.skylarkmast.core.journal;

/** How far an appended record has got. */
public sealed interface AppendOutcome {

    /** The record is in the key-value service; any later owner will replay it. Final. */
    record Committed(long sequence) implements AppendOutcome {}

    /**
     * The key-value service cannot take the record now; nodes in other failure domains hold copies.
     *
     * <p>{@link Committed} or {@link Fenced} follows.
     *
     * @param copies nodes that confirmed a copy, at least 1
     */
    record Copied(int copies) implements AppendOutcome {}

    /**
     * Another node owns the partition now; this node will not commit the record. Final.
     *
     * <p>If an answer of the key-value service was lost and the new owner has trimmed its journal
     * since, the new owner may still have replayed the record.
     */
    record Fenced() implements AppendOutcome {}
}
