package org.skylarkmast.daemon.peer;

import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.rpc.peer.PeerGrpc;

/** One channel per peer, opened on first use. Thread-safe. */
public final class PeerChannels implements AutoCloseable {

    /** Idle time after which a connection is probed, so that a dead host is detected. */
    private static final long KEEPALIVE_S = 2;

    private static final long KEEPALIVE_TIMEOUT_S = 2;
    private static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

    private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();

    /** Returns a stub for streaming and asynchronous calls. */
    public PeerGrpc.PeerStub stub(String peerAddress) {
        return PeerGrpc.newStub(channel(peerAddress));
    }

    /** Returns a stub for short blocking calls. */
    public PeerGrpc.PeerBlockingStub blockingStub(String peerAddress, long timeoutMs) {
        return PeerGrpc.newBlockingStub(channel(peerAddress))
                .withDeadlineAfter(timeoutMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
    }

    private ManagedChannel channel(String peerAddress) {
        return channels.computeIfAbsent(peerAddress, PeerChannels::openChannel);
    }

    private static ManagedChannel openChannel(String peerAddress) {
        return NettyChannelBuilder.forTarget("dns:///" + peerAddress)
                .usePlaintext()
                .keepAliveTime(KEEPALIVE_S, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEPALIVE_TIMEOUT_S, TimeUnit.SECONDS)
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .build();
    }
}
