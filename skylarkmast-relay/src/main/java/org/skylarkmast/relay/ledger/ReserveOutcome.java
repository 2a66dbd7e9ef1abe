package org.skylarkmast.relay.ledger;

/** The result of a reservation. */
public enum ReserveOutcome {
    /** The turn may run. */
    GRANTED,
    /** The rest of the budget is reserved by running turns; retry when they have ended. */
    HELD,
    /** The budget is spent. */
    EXHAUSTED,
    /** Too few storage nodes answered. */
    UNAVAILABLE
}
