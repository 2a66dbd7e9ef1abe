package org.skylarkmast.core.engine;

/** What a node knows of a program. */
public enum ProgramLiveness {
    /** It is live here. */
    LIVE,
    /** This node owns its partition and has no such program. */
    GONE,
    /** Another node owns its partition, or this one has not yet replayed it. */
    NOT_OWNED
}
