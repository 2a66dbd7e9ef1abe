package org.skylarkmast.relay.mirror;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.ledger.KeeperClient;
import org.skylarkmast.relay.ledger.KeeperView;
import org.skylarkmast.relay.ledger.LedgerOperation;

/**
 * Answers polls for changes, and fetches changes from other keepers (anti-entropy), so that a
 * keeper cut off from the key-value service stays up to date; thread-safe.
 */
public final class MirrorExchange {

    /** Longest wait for another keeper. */
    private static final long CALL_TIMEOUT_MS = 400;

    /** Time for which another keeper's answer holds; one is asked twice a second. */
    private static final long LIVE_MS = 1100;

    private static final long LIVE_CHECK_MS = 200;

    private final StoreMirror mirror;
    private final KeeperClient keepers;
    private final BooleanSupplier watching;
    private volatile boolean alone;
    private volatile long heardNs;
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
        long leftMs = question.waitMs();
        // A poll ends early once this keeper may be missing changes.
        while (leftMs > 0 && mirror.revision() <= question.knownRevision() && live()) {
            mirror.awaitNewer(question.knownRevision(), Math.min(leftMs, LIVE_CHECK_MS));
            leftMs -= LIVE_CHECK_MS;
        }
        boolean live = question.first() ? watching.getAsBoolean() : live();
        return mirror.since(question.knownRevision(), question.knownDigest(), live);
    }

    /** Fetches changes from one other member of {@code view}, in rotation; blocks. */
    public void round(KeeperView view, KeeperView.Member self) {
        List<KeeperView.Member> others = new ArrayList<>(view.members());
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

    private boolean ask(KeeperView view, KeeperView.Member member) {
        MirrorChanges changes =
                keepers.call(
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
     * Whether this keeper is up to date. A silent connection looks like a watch without changes, so
     * the own watch counts only while another keeper answers, which would pass changes on.
     */
    private boolean live() {
        return (watching.getAsBoolean() && (alone || lately(heardNs))) || lately(peerLiveNs);
    }

    private static boolean lately(long ns) {
        return ns != 0 && System.nanoTime() - ns < TimeUnit.MILLISECONDS.toNanos(LIVE_MS);
    }
}
