package org.skylarkmast.relay.mirror;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;

/**
 * Answers long polls for changes, and fetches changes from other storage nodes (anti-entropy), so
 * that a storage node cut off from the key-value service stays up to date; thread-safe.
 */
public final class MirrorExchange {

    /** Timeout of a call to another storage node. */
    private static final long CALL_TIMEOUT_MS = 400;

    /** Time for which another storage node's answer counts; one is called twice a second. */
    private static final long ANSWER_VALID_MS = 1100;

    /** Interval at which a waiting poll checks whether this storage node is still up to date. */
    private static final long UP_TO_DATE_CHECK_MS = 200;

    private final StoreMirror mirror;
    private final StorageNodeClient storageNodes;
    private final BooleanSupplier watching;
    private final CurrencyProof proof;
    private volatile boolean withoutPeers;
    private volatile long peerAnswerNs;
    private volatile long upToDatePeerAnswerNs;
    private int nextPeer;

    /**
     * @param watching whether this process is watching the service
     */
    public MirrorExchange(
            StoreMirror mirror, StorageNodeClient storageNodes, BooleanSupplier watching) {
        this(
                mirror,
                storageNodes,
                watching,
                new CurrencyProof(System::nanoTime, System::currentTimeMillis));
    }

    /**
     * @param watching whether this process is watching the service
     * @param proof passed on with each answer, and renewed by those of other storage nodes
     */
    public MirrorExchange(
            StoreMirror mirror,
            StorageNodeClient storageNodes,
            BooleanSupplier watching,
            CurrencyProof proof) {
        this.proof = proof;
        this.mirror = mirror;
        this.storageNodes = storageNodes;
        this.watching = watching;
    }

    /** Answers a request for changes; blocks for at most the time that it asks for. */
    public MirrorChanges answer(MirrorCodec.ChangesRequest request) throws InterruptedException {
        CurrencyProof.Moment received = proof.now();
        long remainingMs = request.waitMs();
        // A long poll ends early once this storage node may be missing changes.
        while (remainingMs > 0 && mirror.revision() <= request.knownRevision() && isUpToDate()) {
            mirror.awaitNewer(request.knownRevision(), Math.min(remainingMs, UP_TO_DATE_CHECK_MS));
            remainingMs -= UP_TO_DATE_CHECK_MS;
        }
        boolean upToDate = request.ownWatchOnly() ? watching.getAsBoolean() : isUpToDate();
        // Before the content, which then contains what the proof confirms if this node has it.
        Optional<CurrencyProof.Statement> statement = proof.statementFor(received);
        return mirror.changesSince(request.knownRevision(), request.knownDigest(), upToDate)
                .withProof(statement);
    }

    /**
     * Fetches changes from one other member of {@code view}, round-robin; if it does not answer,
     * from the next. Blocks.
     */
    public void fetchChanges(LedgerView view, LedgerView.Member self) {
        List<LedgerView.Member> others = new ArrayList<>(view.members());
        others.remove(self);
        withoutPeers = others.isEmpty();
        if (mirror.revision() == 0) {
            return;
        }
        nextPeer++;
        for (int i = 0; i < others.size(); i++) {
            if (fetchFrom(view, others.get(Math.floorMod(nextPeer + i, others.size())))) {
                return;
            }
        }
    }

    private boolean fetchFrom(LedgerView view, LedgerView.Member member) {
        CurrencyProof.Moment sent = proof.now();
        MirrorChanges changes =
                storageNodes.call(
                        member,
                        view.version(),
                        LedgerOperation.CHANGES,
                        MirrorCodec.encode(
                                new MirrorCodec.ChangesRequest(
                                        mirror.requestRevision(), mirror.digest(), 0, true)),
                        CALL_TIMEOUT_MS,
                        MirrorCodec::read);
        if (changes == null) {
            return false;
        }
        mirror.merge(changes);
        changes.proof().ifPresent(statement -> proof.recordStatement(sent, statement));
        peerAnswerNs = System.nanoTime();
        if (changes.upToDate()) {
            upToDatePeerAnswerNs = peerAnswerNs;
        }
        return true;
    }

    /**
     * Returns the seconds since a storage node that watches the service answered; infinite before
     * the first time.
     */
    public double peerProofAgeSeconds() {
        return ProofAge.seconds(upToDatePeerAnswerNs);
    }

    /**
     * Whether this storage node is up to date. A broken connection that was not closed looks like a
     * watch without changes, so the own watch counts only while another storage node answers, which
     * would pass changes on.
     */
    private boolean isUpToDate() {
        return (watching.getAsBoolean() && (withoutPeers || isRecent(peerAnswerNs)))
                || isRecent(upToDatePeerAnswerNs);
    }

    private static boolean isRecent(long timeNs) {
        return timeNs != 0
                && System.nanoTime() - timeNs < TimeUnit.MILLISECONDS.toNanos(ANSWER_VALID_MS);
    }
}
