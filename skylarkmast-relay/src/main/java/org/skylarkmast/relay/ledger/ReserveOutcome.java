package org.skylarkmast.relay.ledger;

/** What became of a reservation. */
public enum ReserveOutcome {
    /** The turn may run. */
    GRANTED,
    /** Turns under way hold the rest of the budget; try again when they have ended. */
    HELD,
    /** The budget is spent. */
    EXHAUSTED,
    /** Too few storage nodes answered. */
    UNAVAILABLE
}
