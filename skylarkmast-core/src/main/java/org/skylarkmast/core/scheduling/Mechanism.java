package org.skylarkmast.core.scheduling;

/**
 * Parts of the scheduling policy that can be disabled, so that a benchmark can measure the effect
 * of each.
 */
public enum Mechanism {
    /** Prefers runners that are estimated to cache the program's prefix. */
    PREFIX_AFFINITY,
    /** Estimates the runners' prefill and decode rates instead of treating all runners as equal. */
    LEARNT_SPEED,
    /** Counts other nodes' in-flight calls. */
    PEER_LOADS,
    /**
     * Counts calls that a runner reports in excess of the calls known from this node and its peers.
     */
    LOAD_REPORTS,
    /** Decays the estimates of cached prefixes with time and after gaps in the cache events. */
    BELIEF_DECAY,
    /** Adds the cost of evicting other programs' prefixes. */
    EVICTION_PRICE,
    /** Queues and orders calls while runners are full, instead of sending them at once. */
    CONCURRENCY_LIMIT,
    /** Lowers a runner's concurrency limit when it answers that it is busy. */
    ADAPTIVE_LIMIT,
    /** Orders calls of programs that have received much service time behind others. */
    ATTAINED_SERVICE,
    /** Refuses new programs as soon as their predicted wait is too long. */
    EARLY_REFUSAL,
    /** Ejects runners that fail and probes them later. */
    CIRCUIT_BREAKER,
    /** Avoids runners whose answers are overdue. */
    SLOW_DETECTION,
    /** Limits retries to a fraction of first attempts. */
    RETRY_BUDGET
}
