package org.skylarkmast.relay.warmup;

import java.util.Locale;

/** Why a warm-up ended. */
public enum WarmUpEnd {
    /** All rounds were run. */
    COMPLETED,
    /** A caller or another entry node connected. */
    WORK_ARRIVED,
    /** The node was not ready in time, or is no longer. */
    NOT_READY,
    /** The processor time was used up. */
    PROCESSOR_TIME,
    /** It took too long. */
    DURATION,
    /** Its own endpoints could not be opened or did not answer. */
    FAILED;

    /** Returns the reason as it is logged. */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
