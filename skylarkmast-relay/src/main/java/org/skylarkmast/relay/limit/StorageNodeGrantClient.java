package org.skylarkmast.relay.limit;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.zip.CRC32C;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests sends from storage nodes; thread-safe.
 *
 * <p>The storage node for a runner is chosen by rendezvous hashing among the members of the view,
 * reachable or not: two storage nodes that both grant sends to a runner would double its limit.
 */
public final class StorageNodeGrantClient implements SendGrantClient {
    private static final Logger LOG = LoggerFactory.getLogger(StorageNodeGrantClient.class);

    /** The call is answered from memory; a caller waits for it before its request is sent. */
    private static final long CALL_TIMEOUT_MS = 150;

    /** Time after an unanswered call during which a storage node is not called again. */
    private static final long UNANSWERED_PAUSE_MS = 500;

    private static final long NS_PER_MS = 1_000_000;

    private final Supplier<LedgerView> views;
    private final StorageNodeClient storageNodes;
    private final LongSupplier clockNs;

    /** When the last call to a storage node was unanswered, by address. */
    private final Map<String, Long> unansweredNs = new ConcurrentHashMap<>();

    /**
     * @param views returns the view in force
     * @param clockNs monotonic clock, in ns
     */
    public StorageNodeGrantClient(
            Supplier<LedgerView> views, StorageNodeClient storageNodes, LongSupplier clockNs) {
        this.views = views;
        this.storageNodes = storageNodes;
        this.clockNs = clockNs;
    }

    @Override
    public Optional<SendGrant> request(SendRequest request) {
        LedgerView view = views.get();
        Optional<LedgerView.Member> member =
                view.members().stream()
                        .max(
                                Comparator.<LedgerView.Member>comparingLong(
                                                candidate -> rank(candidate, request.incarnation()))
                                        .thenComparing(LedgerView.Member::node));
        if (member.isEmpty() || isPaused(member.get())) {
            return Optional.empty();
        }
        byte[] body = LedgerCodec.encode(out -> SendGrantCodec.writeRequest(out, request));
        SendGrant grant =
                storageNodes.call(
                        member.get(),
                        view.version(),
                        LedgerOperation.ADMIT,
                        body,
                        CALL_TIMEOUT_MS,
                        SendGrantCodec::readGrant);
        recordCall(member.get(), grant != null);
        return Optional.ofNullable(grant);
    }

    private boolean isPaused(LedgerView.Member member) {
        Long since = unansweredNs.get(member.address());
        return since != null && clockNs.getAsLong() - since < UNANSWERED_PAUSE_MS * NS_PER_MS;
    }

    private void recordCall(LedgerView.Member member, boolean answered) {
        boolean wasAnswering =
                answered
                        ? unansweredNs.remove(member.address()) == null
                        : unansweredNs.put(member.address(), clockNs.getAsLong()) == null;
        if (wasAnswering != answered) {
            LOG.atWarn()
                    .addKeyValue("event", answered ? "send_grants_regained" : "send_grants_lost")
                    .addKeyValue("keeper", member)
                    .log();
        }
    }

    /** Mixes the two checksums, which by themselves would favor some storage nodes. */
    private static long rank(LedgerView.Member member, String incarnation) {
        long seed = (checksum(member.node()) << Integer.SIZE) | checksum(incarnation);
        return new SplittableRandom(seed).nextLong();
    }

    private static long checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
