package org.skylarkmast.daemon.store;

import io.grpc.Attributes;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;

/** Records of one call whether it reached a connection and whether the server ended it. */
final class CallStreamTracer extends ClientStreamTracer.Factory {
    private volatile boolean sent;
    private volatile boolean endedByServer;

    /** Whether a stream was opened for the call on a live connection. */
    boolean sent() {
        return sent;
    }

    /** Whether the server's closing status arrived. */
    boolean endedByServer() {
        return endedByServer;
    }

    @Override
    public ClientStreamTracer newClientStreamTracer(
            ClientStreamTracer.StreamInfo info, Metadata headers) {
        return new ClientStreamTracer() {
            @Override
            public void streamCreated(Attributes transportAttributes, Metadata sentHeaders) {
                sent = true;
            }

            @Override
            public void inboundTrailers(Metadata trailers) {
                endedByServer = true;
            }
        };
    }
}
