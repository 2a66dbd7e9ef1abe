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

    /** Another node owns the partition now; the record will never be committed. Final. */
    record Fenced() implements AppendOutcome {}
}
