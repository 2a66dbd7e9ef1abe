package org.skylarkmast.daemon.peer;

import com.google.protobuf.ByteString;
import io.grpc.StatusRuntimeException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.skylarkmast.core.ownership.SessionRecord;
import org.skylarkmast.daemon.configuration.PeerConfigurationSource;
import org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply;
import org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest;

/** Exchanges the configuration in force with peers; thread-safe, calls block. */
public final class ConfigurationExchange implements PeerConfigurationSource {
    private static final long TIMEOUT_MS = 1_000;

    private final KnownPeers peers;
    private final PeerChannels channels;
    private final Supplier<byte[]> snapshot;
    private final LongSupplier revision;

    /**
     * @param snapshot this node's configuration in force
     * @param revision its revision
     */
    public ConfigurationExchange(
            KnownPeers peers,
            PeerChannels channels,
            Supplier<byte[]> snapshot,
            LongSupplier revision) {
        this.peers = peers;
        this.channels = channels;
        this.snapshot = snapshot;
        this.revision = revision;
    }

    @Override
    public List<byte[]> newerThan(long aboveRevision) {
        FetchConfigurationRequest request =
                FetchConfigurationRequest.newBuilder().setAboveRevision(aboveRevision).build();
        List<byte[]> found = new ArrayList<>();
        for (SessionRecord peer : peers.all()) {
            try {
                FetchConfigurationReply reply =
                        channels.blocking(peer.peerAddress(), TIMEOUT_MS)
                                .fetchConfiguration(request);
                if (!reply.getConfiguration().isEmpty()) {
                    found.add(reply.getConfiguration().toByteArray());
                }
            } catch (StatusRuntimeException ignored) {
                // A peer that does not answer is left out.
            }
        }
        return found;
    }

    /** Answers a peer. */
    public FetchConfigurationReply fetch(FetchConfigurationRequest request) {
        long own = revision.getAsLong();
        FetchConfigurationReply.Builder reply =
                FetchConfigurationReply.newBuilder().setRevision(own);
        if (own > request.getAboveRevision()) {
            reply.setConfiguration(ByteString.copyFrom(snapshot.get()));
        }
        return reply.build();
    }
}
