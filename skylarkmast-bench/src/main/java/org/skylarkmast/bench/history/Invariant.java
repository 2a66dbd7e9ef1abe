package org.skylarkmast.bench.history;

/** The invariants that every run must satisfy. */
public enum Invariant {
    /** The calls of one program run in order. */
    PROGRAM_ORDER,
    /** A program's history loses no message and contains none of another program. */
    HISTORY_KEPT,
    /** A program never exceeds its budget. */
    BUDGET,
    /** Engines hold no cache for programs that have ended. */
    ENGINE_MEMORY,
    /** A caller receives the complete answer to its own request. */
    OWN_ANSWER,
    /** A refusal that says "not run" is true. */
    NOT_RUN_TRUE,
    /** A request that may not be repeated runs at most once. */
    AT_MOST_ONCE,
    /** A leaving runner receives no new calls after {@link CheckerLimits#leavingMs}. */
    LEAVING_TARGET,
    /** A graceful shutdown interrupts no request. */
    GRACEFUL_SHUTDOWN,
    /** Every node applies an accepted configuration in time and never reverts to an older one. */
    CONFIGURATION
}
