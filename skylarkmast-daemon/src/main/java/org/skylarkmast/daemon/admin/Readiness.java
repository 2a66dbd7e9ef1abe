package org.skylarkmast.daemon.admin;

import java.util.Optional;

/** Tells whether this node should be sent requests. */
@FunctionalInterface
public interface Readiness {

    /** Why it should not; empty if it is ready. */
    Optional<String> notReadyReason();
}
