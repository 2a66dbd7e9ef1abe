package org.skylarkmast.core.scheduling;

/** Parts of the policy that can be left out, so that a bench can tell what each one earns. */
public enum Mechanism {
    /** Prefers runners believed to hold the program's prefix. */
    PREFIX_AFFINITY,
    /** Learns the runners' rates of prefill and decode instead of taking all as equal. */
    LEARNT_SPEED,
    /** Counts what other nodes have under way. */
    PEER_LOADS,
    /** Counts calls that a runner reports beyond those known of. */
    LOAD_REPORTS,
    /** Lets beliefs in cached prefixes decay with time and with gaps in the cache events. */
    BELIEF_DECAY,
    /** Prices the eviction of other programs' prefixes. */
    EVICTION_PRICE,
    /** Holds calls back while runners are full, and orders them, instead of sending at once. */
    CONCURRENCY_LIMIT,
    /** Cuts a runner's concurrency limit when it answers that it is busy. */
    ADAPTIVE_LIMIT,
    /** Puts calls of programs that got much service behind others. */
    ATTAINED_SERVICE,
    /** Refuses new programs as soon as their predicted wait is too long. */
    EARLY_REFUSAL,
    /** Ejects runners that fail and probes them later. */
    CIRCUIT_BREAKER,
    /** Avoids runners whose answers are overdue. */
    SLOW_DETECTION,
    /** Bounds retries to a share of first sends. */
    RETRY_BUDGET
}
