package org.skylarkmast.relay.tally;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.skylarkmast.relay.ledger.KeeperClient;
import org.skylarkmast.relay.ledger.KeeperView;
import org.skylarkmast.relay.ledger.LedgerOperation;

/** Fetches what the other keepers added up; used by one thread. */
public final class TallyExchange {

    /** Longest wait for another keeper; its sums are of no use much later. */
    private static final long CALL_TIMEOUT_MS = 400;

    private static final byte[] NO_BODY = {};

    private final TallyBook book;
    private final KeeperClient keepers;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

    /** Creates an exchange that fills {@code book}. */
    public TallyExchange(TallyBook book, KeeperClient keepers) {
        this.book = book;
        this.keepers = keepers;
    }

    /** Asks all members of {@code view} but {@code self}, without waiting for their answers. */
    public void round(KeeperView view, KeeperView.Member self) {
        for (KeeperView.Member member : view.members()) {
            if (!member.equals(self)) {
                executor.execute(() -> ask(view, member));
            }
        }
    }

    private void ask(KeeperView view, KeeperView.Member member) {
        List<RunnerTally> tallies =
                keepers.call(
                        member,
                        view.version(),
                        LedgerOperation.TALLIES,
                        NO_BODY,
                        CALL_TIMEOUT_MS,
                        TallyCodec::read);
        if (tallies != null) {
            book.told(member.node(), tallies);
        }
    }
}
