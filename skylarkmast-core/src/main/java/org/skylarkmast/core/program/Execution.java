package org.skylarkmast.core.program;

/** What a failed request did. */
public enum Execution {
    /** It provably did not run and will not; it may be sent again. */
    NOT_RUN,
    /** Whether it ran cannot be told. */
    UNKNOWN,
    /** It ran, though its answer cannot be given. */
    RAN
}
