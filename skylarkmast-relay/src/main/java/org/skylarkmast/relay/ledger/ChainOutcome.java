package org.skylarkmast.relay.ledger;

import java.util.List;

/** The result of reading a chain of turns. */
public sealed interface ChainOutcome {

    /** The chain, oldest turn first. */
    record Found(List<TurnRecord> turns) implements ChainOutcome {
        public Found {
            turns = List.copyOf(turns);
        }
    }

    /** The turn was never completed, or its retention has expired. */
    record Absent() implements ChainOutcome {}

    /** Too few storage nodes answered to tell whether the turn exists. */
    record Uncertain() implements ChainOutcome {}
}
