package org.skylarkmast.relay.runner;

/** Where a node learned that a runner is leaving. */
public enum LeavingSource {
    /** An answer of the runner. */
    ANSWER,
    /** An answer of the runner that another entry node passed on. */
    PEER,
    /** The runner's registration. */
    REGISTRATION
}
