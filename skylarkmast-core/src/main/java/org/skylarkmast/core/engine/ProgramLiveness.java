package org.skylarkmast.core.engine;

/** State of a program as known to a node. */
public enum ProgramLiveness {
    /** The program is live on this node. */
    LIVE,
    /** This node owns the partition of the program and has no such program. */
    GONE,
    /** Another node owns the partition, or this node has not yet replayed it. */
    NOT_OWNED
}
