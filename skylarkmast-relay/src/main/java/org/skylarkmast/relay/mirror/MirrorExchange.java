package org.skylarkmast.relay.mirror;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.ledger.KeeperClient;
import org.skylarkmast.relay.ledger.KeeperView;
import org.skylarkmast.relay.ledger.LedgerOperation;

/**
 * Answers questions for changes, and fetches what other keepers know more, so that a keeper cut off
 * from the key-value service still tells the newest; thread-safe.
 */
public final class MirrorExchange {

    /** Longest wait for another keeper. */
    private static final long CALL_TIMEOUT_MS = 400;

    /** Time for which a peer's word that it is in touch with the service holds. */
    private static final long LIVE_MS = 1500;

    private final StoreMirror mirror;
    private final KeeperClient keepers;
    private final BooleanSupplier watching;
    private volatile long peerLiveNs;
    private int next;

    /**
     * @param watching whether this process watches the service now
     */
    public MirrorExchange(StoreMirror mirror, KeeperClient keepers, BooleanSupplier watching) {
        this.mirror = mirror;
        this.keepers = keepers;
        this.watching = watching;
    }

    /** Answers a question. */
    public MirrorChanges answer(MirrorCodec.Question question) throws InterruptedException {
        mirror.awaitNewer(question.knownRevision(), question.waitMs());
        boolean live = watching.getAsBoolean() || (!question.first() && peerLive());
        return mirror.since(question.knownRevision(), question.knownDigest(), live);
    }

    /** Asks one other member of {@code view}, each in its turn; blocks for its answer. */
    public void round(KeeperView view, KeeperView.Member self) {
        List<KeeperView.Member> others = new ArrayList<>(view.members());
        others.remove(self);
        if (others.isEmpty() || mirror.revision() == 0) {
            return;
        }
        next++;
        MirrorChanges changes =
                keepers.call(
                        others.get(Math.floorMod(next, others.size())),
                        view.version(),
                        LedgerOperation.CHANGES,
                        MirrorCodec.encode(
                                new MirrorCodec.Question(
                                        mirror.revision(), mirror.digest(), 0, true)),
                        CALL_TIMEOUT_MS,
                        MirrorCodec::read);
        if (changes != null) {
            mirror.merge(changes);
            if (changes.live()) {
                peerLiveNs = System.nanoTime();
            }
        }
    }

    /** Whether a keeper that was asked lately watches the service. */
    private boolean peerLive() {
        long heardNs = peerLiveNs;
        return heardNs != 0 && System.nanoTime() - heardNs < TimeUnit.MILLISECONDS.toNanos(LIVE_MS);
    }
}
