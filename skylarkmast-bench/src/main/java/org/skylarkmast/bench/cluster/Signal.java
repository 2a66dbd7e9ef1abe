package org.skylarkmast.bench.cluster;

/** A signal that a cluster sends to one of its processes. */
public enum Signal {
    /** Kills the process immediately. */
    KILL,
    /** Asks the process to shut down gracefully. */
    TERM,
    /** Pauses the process. */
    STOP,
    /** Resumes a paused process. */
    CONT
}
