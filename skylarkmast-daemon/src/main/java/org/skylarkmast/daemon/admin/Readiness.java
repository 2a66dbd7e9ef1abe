package org.skylarkmast.daemon.admin;

import java.util.Optional;

/** Reports whether this node is ready for requests. */
@FunctionalInterface
public interface Readiness {

    /** Returns why the node is not ready, or empty if it is. */
    Optional<String> notReadyReason();
}
