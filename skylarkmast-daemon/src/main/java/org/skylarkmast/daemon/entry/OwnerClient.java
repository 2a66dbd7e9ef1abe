package org.skylarkmast.daemon.entry;

import java.util.function.Consumer;
import org.skylarkmast.core.ownership.OwnerLocation;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.CallerRequest;

/** Forwards requests to the owner of their program, on this or another node. */
public interface OwnerClient {

    /**
     * Forwards a request.
     *
     * @param onEvent receives tokens and the final event
     * @param onFailure called at most once, instead of a final event, if the owner cannot be
     *     reached, stops answering or does not own the program; receives the reason, which is empty
     *     if the owner did not accept the request
     * @return stops waiting for events; the request itself continues
     */
    Runnable call(
            OwnerLocation owner,
            CallerRequest request,
            Consumer<CallerEvent> onEvent,
            Consumer<String> onFailure);
}
