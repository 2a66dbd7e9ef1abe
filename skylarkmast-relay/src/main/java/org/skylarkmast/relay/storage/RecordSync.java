package org.skylarkmast.relay.storage;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.ledger.Usage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Fetches what other storage nodes hold and this one lacks; used by one thread. */
final class RecordSync {
    private static final Logger LOG = LoggerFactory.getLogger(RecordSync.class);
    private static final long CALL_TIMEOUT_MS = 1500;
    private static final int FETCH_TURNS = 128;

    private final RecordIndex index;
    private final QuorumMembership membership;
    private final CurrentView views;
    private final StorageNodeClient storageNodes;

    RecordSync(
            RecordIndex index,
            QuorumMembership membership,
            CurrentView views,
            StorageNodeClient storageNodes) {
        this.index = index;
        this.membership = membership;
        this.views = views;
        this.storageNodes = storageNodes;
    }

    private record Summary(List<String> turnIds, List<RecordIndex.ProgramUsage> usages) {}

    /**
     * Fetches from the members of {@code view}, and from {@code leaving}, which may hold copies
     * too. A storage node that is no member yet fetches beforehand, so that little is left to fetch
     * once it is one and takes no part until then.
     *
     * @return whether enough members were read to hold all that was acknowledged
     */
    boolean run(LedgerView view, List<LedgerView.Member> leaving) {
        List<LedgerView.Member> others = new ArrayList<>(view.members());
        others.remove(membership.self());
        int needed = view.members().size() - Math.max(1, view.writeQuorum() - 1);
        int read = 0;
        for (LedgerView.Member other : others) {
            if (fetchFrom(other, view)) {
                read++;
            }
        }
        leaving.forEach(member -> fetchFrom(member, view));
        if (read < Math.min(needed, others.size()) || views.current().version() != view.version()) {
            return false;
        }
        if (view.contains(membership.self())) {
            membership.synced(view.version());
        } else {
            membership.prefetched(view.version());
        }
        return true;
    }

    private boolean fetchFrom(LedgerView.Member other, LedgerView view) {
        Summary summary =
                storageNodes.call(
                        other,
                        view.version(),
                        LedgerOperation.SUMMARY,
                        new byte[0],
                        CALL_TIMEOUT_MS,
                        RecordSync::readSummary);
        if (summary == null) {
            return false;
        }
        List<CompletableFuture<Void>> writes = new ArrayList<>();
        for (RecordIndex.ProgramUsage usage : summary.usages()) {
            writes.add(index.putUsage(usage.program(), usage.usage(), usage.retentionMs(), true));
        }
        Set<String> held = index.turnIds();
        List<String> lacking = new ArrayList<>(summary.turnIds());
        lacking.removeIf(held::contains);
        int fetched = 0;
        while (fetched < lacking.size()) {
            int from = fetched;
            List<String> wanted =
                    lacking.subList(from, Math.min(lacking.size(), from + FETCH_TURNS));
            List<TurnRecord> turns = fetch(other, view, wanted);
            if (turns == null || turns.isEmpty()) {
                // Expired meanwhile, or the storage node is gone; a missing answer is not
                // "all read".
                if (turns == null) {
                    return false;
                }
                fetched += wanted.size();
                continue;
            }
            turns.forEach(turn -> writes.add(index.putTurn(turn)));
            fetched = lacking.indexOf(turns.getLast().id()) + 1;
        }
        try {
            CompletableFuture.allOf(writes.toArray(new CompletableFuture<?>[0])).join();
        } catch (CompletionException e) {
            LOG.atWarn().addKeyValue("event", "sync_write_failed").setCause(e).log();
            return false;
        }
        LOG.atInfo()
                .addKeyValue("event", "keeper_read")
                .addKeyValue("keeper", other.node())
                .addKeyValue("view", view.version())
                .addKeyValue("turnsThere", summary.turnIds().size())
                .addKeyValue("turnsFetched", lacking.size())
                .addKeyValue("usages", summary.usages().size())
                .log();
        return true;
    }

    private List<TurnRecord> fetch(LedgerView.Member other, LedgerView view, List<String> wanted) {
        byte[] body =
                LedgerCodec.encode(
                        out -> {
                            out.writeInt(wanted.size());
                            for (String id : wanted) {
                                out.writeUTF(id);
                            }
                        });
        return storageNodes.call(
                other,
                view.version(),
                LedgerOperation.FETCH,
                body,
                CALL_TIMEOUT_MS,
                in -> {
                    int count = in.readInt();
                    List<TurnRecord> turns = new ArrayList<>();
                    for (int i = 0; i < count; i++) {
                        turns.add(LedgerCodec.readTurn(in));
                    }
                    return turns;
                });
    }

    private static Summary readSummary(DataInputStream in) throws IOException {
        int turns = in.readInt();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < turns; i++) {
            ids.add(in.readUTF());
        }
        int count = in.readInt();
        List<RecordIndex.ProgramUsage> usages = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String program = in.readUTF();
            Usage usage = LedgerCodec.readUsages(in).getFirst();
            usages.add(new RecordIndex.ProgramUsage(program, usage, in.readLong()));
        }
        return new Summary(ids, usages);
    }
}
