package org.skylarkmast.relay.mirror;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;

/**
 * Answers polls for changes, and fetches changes from other storage nodes (anti-entropy), so that a
 * storage node cut off from the key-value service stays up to date; thread-safe.
 */
public final class MirrorExchange {

    /** Longest wait for another storage node. */
    private static final long CALL_TIMEOUT_MS = 400;

    /** Time for which another storage node's answer holds; one is asked twice a second. */
    private static final long LIVE_MS = 1100;

    private static final long LIVE_CHECK_MS = 200;

    private final StoreMirror mirror;
    private final StorageNodeClient storageNodes;
    private final BooleanSupplier watching;
    private volatile boolean alone;
    private volatile long heardNs;
    private volatile long peerLiveNs;
    private int next;

    /**
     * @param watching whether this process watches the service now
     */
    public MirrorExchange(
            StoreMirror mirror, StorageNodeClient storageNodes, BooleanSupplier watching) {
        this.mirror = mirror;
        this.storageNodes = storageNodes;
        this.watching = watching;
    }

    /** Answers a question. */
    public MirrorChanges answer(MirrorCodec.Question question) throws InterruptedException {
        long leftMs = question.waitMs();
        // A poll ends early once this storage node may be missing changes.
        while (leftMs > 0 && mirror.revision() <= question.knownRevision() && live()) {
            mirror.awaitNewer(question.knownRevision(), Math.min(leftMs, LIVE_CHECK_MS));
            leftMs -= LIVE_CHECK_MS;
        }
        boolean live = question.first() ? watching.getAsBoolean() : live();
        return mirror.since(question.knownRevision(), question.knownDigest(), live);
    }

    /** Fetches changes from one other member of {@code view}, in rotation; blocks. */
    public void round(LedgerView view, LedgerView.Member self) {
        List<LedgerView.Member> others = new ArrayList<>(view.members());
        others.remove(self);
        alone = others.isEmpty();
        if (mirror.revision() == 0) {
            return;
        }
        next++;
        for (int i = 0; i < others.size(); i++) {
            if (ask(view, others.get(Math.floorMod(next + i, others.size())))) {
                return;
            }
        }
    }

    private boolean ask(LedgerView view, LedgerView.Member member) {
        MirrorChanges changes =
                storageNodes.call(
                        member,
                        view.version(),
                        LedgerOperation.CHANGES,
                        MirrorCodec.encode(
                                new MirrorCodec.Question(
                                        mirror.revision(), mirror.digest(), 0, true)),
                        CALL_TIMEOUT_MS,
                        MirrorCodec::read);
        if (changes == null) {
            return false;
        }
        mirror.merge(changes);
        heardNs = System.nanoTime();
        if (changes.live()) {
            peerLiveNs = heardNs;
        }
        return true;
    }

    /**
     * Whether this storage node is up to date. A silent connection looks like a watch without
     * changes, so the own watch counts only while another storage node answers, which would pass
     * changes on.
     */
    private boolean live() {
        return (watching.getAsBoolean() && (alone || lately(heardNs))) || lately(peerLiveNs);
    }

    private static boolean lately(long ns) {
        return ns != 0 && System.nanoTime() - ns < TimeUnit.MILLISECONDS.toNanos(LIVE_MS);
    }
}
