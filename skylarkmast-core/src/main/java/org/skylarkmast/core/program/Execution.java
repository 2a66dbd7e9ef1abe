package org.skylarkmast.core.program;

import java.util.Locale;

/** What a failed request did. */
public enum Execution {
    /** It provably did not run and will not; it may be sent again. */
    NOT_RUN,
    /** Whether it ran cannot be told. */
    UNKNOWN,
    /** It ran, though its answer cannot be given. */
    RAN;

    /** How it is written in an answer, such as {@code not-run}. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
