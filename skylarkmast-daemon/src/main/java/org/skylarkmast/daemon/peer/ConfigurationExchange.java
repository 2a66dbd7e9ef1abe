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

/** Exchanges the current configuration with peers. Thread-safe; calls block. */
public final class ConfigurationExchange implements PeerConfigurationSource {
    private static final long TIMEOUT_MS = 1_000;

    private final KnownPeers peers;
    private final PeerChannels channels;
    private final Supplier<byte[]> snapshot;
    private final LongSupplier revision;

    /**
     * @param snapshot the current configuration of this node
     * @param revision revision of the current configuration
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
                        channels.blockingStub(peer.peerAddress(), TIMEOUT_MS)
                                .fetchConfiguration(request);
                if (!reply.getConfiguration().isEmpty()) {
                    found.add(reply.getConfiguration().toByteArray());
                }
            } catch (StatusRuntimeException ignored) {
                // Peers that fail to answer are skipped.
            }
        }
        return found;
    }

    /** Answers a peer's request; includes the configuration only if it is newer than the peer's. */
    public FetchConfigurationReply fetch(FetchConfigurationRequest request) {
        long ownRevision = revision.getAsLong();
        FetchConfigurationReply.Builder reply =
                FetchConfigurationReply.newBuilder().setRevision(ownRevision);
        if (ownRevision > request.getAboveRevision()) {
            reply.setConfiguration(ByteString.copyFrom(snapshot.get()));
        }
        return reply.build();
    }
}
