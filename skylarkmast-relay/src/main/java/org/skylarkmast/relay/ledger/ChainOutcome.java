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

    /** No such turn was ever completed, or it is past its retention. */
    record Absent() implements ChainOutcome {}

    /** Too few storage nodes answered to know. */
    record Uncertain() implements ChainOutcome {}
}
