package org.skylarkmast.daemon.peer;

import com.google.protobuf.ByteString;
import io.grpc.StatusRuntimeException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.skylarkmast.core.journal.CopiedRecord;
import org.skylarkmast.core.journal.CopyMark;
import org.skylarkmast.core.journal.PeerCopySource;
import org.skylarkmast.core.journal.PeerReplicator;
import org.skylarkmast.core.ownership.SessionRecord;
import org.skylarkmast.daemon.journal.CopyStore;
import org.skylarkmast.rpc.peer.PeerProto;

/**
 * Exchanges copies of journal records with peers while the key-value service does not store
 * records.
 *
 * <p>Thread-safe; calls block.
 */
public final class CopyExchange implements PeerReplicator, PeerCopySource {

    /** Limits how long a dead peer can delay the answer to a caller. */
    private static final long TIMEOUT_MS = 1_000;

    private final KnownPeers peers;
    private final PeerChannels channels;
    private final CopyStore heldCopies;
    private final String ownFailureDomain;
    private final Executor blocking;

    /**
     * @param heldCopies copies that this node holds for other owners
     * @param blocking runs blocking calls, one per task
     */
    public CopyExchange(
            KnownPeers peers,
            PeerChannels channels,
            CopyStore heldCopies,
            String ownFailureDomain,
            Executor blocking) {
        this.peers = peers;
        this.channels = channels;
        this.heldCopies = heldCopies;
        this.ownFailureDomain = ownFailureDomain;
        this.blocking = blocking;
    }

    @Override
    public int replicate(List<CopiedRecord> copies, List<CopyMark> committed) {
        PeerProto.StoreCopiesRequest request =
                PeerProto.StoreCopiesRequest.newBuilder()
                        .addAllEntries(copies.stream().map(CopyExchange::toMessage).toList())
                        .addAllCommitted(committed.stream().map(CopyExchange::toMessage).toList())
                        .build();
        List<SessionRecord> others =
                peers.all().stream()
                        .filter(peer -> !peer.failureDomain().equals(ownFailureDomain))
                        .toList();
        return (int)
                callAll(
                                others,
                                peer -> {
                                    channels.blockingStub(peer.peerAddress(), TIMEOUT_MS)
                                            .storeCopies(request);
                                    return true;
                                })
                        .stream()
                        .count();
    }

    @Override
    public List<CopiedRecord> copiesOf(int partition) {
        PeerProto.FetchCopiesRequest request =
                PeerProto.FetchCopiesRequest.newBuilder().setPartition(partition).build();
        List<CopiedRecord> found = new ArrayList<>(heldCopies.copiesOf(partition));
        callAll(
                        peers.all(),
                        peer ->
                                channels.blockingStub(peer.peerAddress(), TIMEOUT_MS)
                                        .fetchCopies(request))
                .forEach(
                        reply ->
                                reply.getEntriesList().stream()
                                        .map(CopyExchange::fromMessage)
                                        .forEach(found::add));
        return found;
    }

    /** Adds the copies that a peer sends and removes those that it reports as committed. */
    public PeerProto.StoreCopiesReply store(PeerProto.StoreCopiesRequest request) {
        boolean stored =
                heldCopies.addAll(
                        request.getEntriesList().stream().map(CopyExchange::fromMessage).toList());
        heldCopies.removeCommitted(
                request.getCommittedList().stream().map(CopyExchange::fromMessage).toList());
        if (!stored) {
            throw io.grpc.Status.RESOURCE_EXHAUSTED
                    .withDescription("no room for copies")
                    .asRuntimeException();
        }
        return PeerProto.StoreCopiesReply.getDefaultInstance();
    }

    /** Returns the copies of a partition that this node holds. */
    public PeerProto.FetchCopiesReply fetch(PeerProto.FetchCopiesRequest request) {
        return PeerProto.FetchCopiesReply.newBuilder()
                .addAllEntries(
                        heldCopies.copiesOf(request.getPartition()).stream()
                                .map(CopyExchange::toMessage)
                                .toList())
                .build();
    }

    private <T> List<T> callAll(List<SessionRecord> peersToCall, Function<SessionRecord, T> call) {
        List<CompletableFuture<T>> replies =
                peersToCall.stream()
                        .map(
                                peer ->
                                        CompletableFuture.supplyAsync(
                                                () -> callOrNull(peer, call), blocking))
                        .toList();
        return replies.stream()
                .map(CompletableFuture::join)
                .filter(reply -> reply != null)
                .toList();
    }

    private static <T> T callOrNull(SessionRecord peer, Function<SessionRecord, T> call) {
        try {
            return call.apply(peer);
        } catch (StatusRuntimeException e) {
            return null;
        }
    }

    private static PeerProto.CopiedEntry toMessage(CopiedRecord copy) {
        return PeerProto.CopiedEntry.newBuilder()
                .setPartition(copy.partition())
                .setEpoch(copy.epoch())
                .setSequence(copy.sequence())
                .setRecord(ByteString.copyFrom(copy.record()))
                .build();
    }

    private static CopiedRecord fromMessage(PeerProto.CopiedEntry entry) {
        return new CopiedRecord(
                entry.getPartition(),
                entry.getEpoch(),
                entry.getSequence(),
                entry.getRecord().toByteArray());
    }

    private static PeerProto.CopyMark toMessage(CopyMark mark) {
        return PeerProto.CopyMark.newBuilder()
                .setPartition(mark.partition())
                .setEpoch(mark.epoch())
                .setSequence(mark.sequence())
                .build();
    }

    private static CopyMark fromMessage(PeerProto.CopyMark mark) {
        return new CopyMark(mark.getPartition(), mark.getEpoch(), mark.getSequence());
    }
}
