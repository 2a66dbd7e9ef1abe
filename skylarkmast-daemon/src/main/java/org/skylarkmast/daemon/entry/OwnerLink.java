package org.skylarkmast.daemon.entry;

import java.util.function.Consumer;
import org.skylarkmast.core.ownership.OwnerLocation;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.CallerRequest;

/** Passes requests to the owner of their program, here or on another node. */
public interface OwnerLink {

    /**
     * Passes a request on.
     *
     * @param events told of tokens and the final event
     * @param gone told instead of a final event if the owner cannot be reached, breaks off or is
     *     not the owner; called at most once
     * @return ends the wait early; the request itself goes on
     */
    Runnable call(
            OwnerLocation owner,
            CallerRequest request,
            Consumer<CallerEvent> events,
            Consumer<String> gone);
}
