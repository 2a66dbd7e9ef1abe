package org.skylarkmast.relay.node;

import java.net.ServerSocket;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.forward.Forwarder;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.InboundRequest;
import org.skylarkmast.relay.route.CallerLimits;
import org.skylarkmast.relay.route.RoutingState;

/**
 * Serves requests by a forwarder.
 *
 * @param fromPeer whether other entry nodes pass the requests on
 */
record ForwardedRequests(Forwarder forwarder, boolean fromPeer) implements RequestServer {

    /**
     * Limits on requests of other entry nodes, which have applied those of callers and then added
     * fields. A connection stays open for longer than the other node reuses it.
     */
    private static final CallerLimits PEER_LIMITS =
            new CallerLimits(1 << 20, Integer.MAX_VALUE, 15_000, 15_000);

    /** Creates the server of the port for callers. */
    static CallerServer ofCallers(
            ServerSocket listener,
            Forwarder forwarder,
            RoutingState routing,
            IntakeBounds bounds,
            ScheduledExecutorService timers) {
        return new CallerServer(
                listener,
                new ForwardedRequests(forwarder, false),
                routing::callerLimits,
                bounds.callers(),
                timers);
    }

    /** Creates the server of the port for other entry nodes. */
    static CallerServer ofPeers(
            ServerSocket listener,
            Forwarder forwarder,
            IntakeBounds bounds,
            ScheduledExecutorService timers) {
        return new CallerServer(
                listener,
                new ForwardedRequests(forwarder, true),
                () -> PEER_LIMITS,
                bounds.peers(),
                timers);
    }

    @Override
    public Optional<HeadRefusal> refusalBeforeBody(InboundRequest request)
            throws InterruptedException {
        return forwarder
                .refusalBeforeBody(request, fromPeer)
                .map(
                        refusal ->
                                (caller, closeAfterAnswer) ->
                                        forwarder.refuse(
                                                caller,
                                                request,
                                                refusal,
                                                closeAfterAnswer,
                                                fromPeer));
    }

    @Override
    public boolean serve(
            CallerConnection connection,
            InboundRequest request,
            byte[] body,
            BooleanSupplier closeAfterAnswer)
            throws InterruptedException {
        return fromPeer
                ? forwarder.servePeer(connection, request, body, closeAfterAnswer)
                : forwarder.serve(connection, request, body, closeAfterAnswer);
    }
}
