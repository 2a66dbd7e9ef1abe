package org.skylarkmast.bench.history;

/** What must hold in every run. */
public enum Invariant {
    /** The calls of one program run in order. */
    PROGRAM_ORDER,
    /** A program's history is never lost or mixed with another's. */
    HISTORY_KEPT,
    /** A program never exceeds its budget. */
    BUDGET,
    /** No engine memory stays held for programs that are gone. */
    ENGINE_MEMORY,
    /** A caller gets the whole answer to its own request. */
    OWN_ANSWER,
    /** A refusal that says "not run" is true. */
    NOT_RUN_TRUE,
    /** A request that may not be repeated runs at most once. */
    AT_MOST_ONCE,
    /** A leaving target gets no new work after a few seconds. */
    LEAVING_TARGET,
    /** A graceful shutdown cuts no request. */
    GRACEFUL_SHUTDOWN,
    /** An accepted configuration is in force everywhere in time and never reverts. */
    CONFIGURATION
}
