package org.skylarkmast.relay.node;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.InboundRequest;

/** Serves one request whose body has been read. */
@FunctionalInterface
public interface RequestServer {

    /** Writes the answer to a request that is rejected before its body has been read. */
    @FunctionalInterface
    interface HeadRefusal {
        /**
         * Writes the answer.
         *
         * @param closeAfterAnswer as for {@link RequestServer#serve}
         * @return whether the connection may serve another request
         */
        boolean write(CallerConnection connection, BooleanSupplier closeAfterAnswer);
    }

    /**
     * Decides by its head alone whether a request with a body is rejected. Called between head and
     * body; a request that is not rejected here is decided on again by {@link #serve}.
     */
    default Optional<HeadRefusal> refusalBeforeBody(InboundRequest request)
            throws InterruptedException {
        return Optional.empty();
    }

    /**
     * Serves a request.
     *
     * @param closeAfterAnswer whether the connection closes after the answer; evaluated when the
     *     answer begins
     * @return whether the connection may serve another request
     */
    boolean serve(
            CallerConnection connection,
            InboundRequest request,
            byte[] body,
            BooleanSupplier closeAfterAnswer)
            throws InterruptedException;
}
