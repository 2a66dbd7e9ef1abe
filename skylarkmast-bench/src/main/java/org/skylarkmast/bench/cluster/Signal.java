package org.skylarkmast.bench.cluster;

/** A signal that a cluster sends to one of its processes. */
public enum Signal {
    /** Ends the process at once. */
    KILL,
    /** Asks the process to shut down gracefully. */
    TERM,
    /** Pauses the process. */
    STOP,
    /** Resumes a paused process. */
    CONT
}
