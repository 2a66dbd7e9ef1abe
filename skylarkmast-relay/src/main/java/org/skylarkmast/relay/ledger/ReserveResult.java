package org.skylarkmast.relay.ledger;

import java.util.Set;

/**
 * The answer of the ledger to a reservation.
 *
 * @param resumedOrigins where the stream that the attempt resumes may have begun; empty if the
 *     ledger does not know it, several if its first runner is not certain
 */
public record ReserveResult(ReserveOutcome outcome, Set<StreamOrigin> resumedOrigins) {

    public ReserveResult {
        resumedOrigins = Set.copyOf(resumedOrigins);
    }
}
