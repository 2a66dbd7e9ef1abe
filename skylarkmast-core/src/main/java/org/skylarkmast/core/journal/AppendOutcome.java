package org.skylarkmast.core.journal;

/** The progress of an appended record. */
public sealed interface AppendOutcome {

    /** The record is stored in the key-value service; every later owner replays it. Final. */
    record Committed(long sequence) implements AppendOutcome {}

    /**
     * The key-value service currently cannot store the record; nodes in other failure domains hold
     * copies.
     *
     * <p>{@link Committed} or {@link Fenced} follows.
     *
     * @param copies number of nodes that confirmed a copy, at least 1
     */
    record Copied(int copies) implements AppendOutcome {}

    /**
     * Another node now owns the partition; this node will not commit the record. Final.
     *
     * <p>The record may nevertheless have been stored and replayed by the new owner, if the answer
     * of the key-value service was lost and the new owner has since trimmed the journal.
     */
    record Fenced() implements AppendOutcome {}
}
