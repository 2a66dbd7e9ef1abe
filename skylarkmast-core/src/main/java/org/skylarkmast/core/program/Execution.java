package org.skylarkmast.core.program;

import java.util.Locale;

/** Whether a request that was not answered ran. */
public enum Execution {
    /** It provably did not run and will not; it may be sent again. */
    NOT_RUN,
    /** It is unknown whether it ran. */
    UNKNOWN,
    /** It ran, but its answer is not available. */
    RAN;

    /** The value's form in answers to callers, such as {@code not-run}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
