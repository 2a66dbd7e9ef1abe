package org.skylarkmast.relay.node;

import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.InboundRequest;

/** Serves one request whose body has been read. */
@FunctionalInterface
public interface RequestServer {

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
