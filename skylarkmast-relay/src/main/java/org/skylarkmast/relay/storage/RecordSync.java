package org.skylarkmast.relay.storage;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.skylarkmast.relay.ledger.StreamOrigin;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.ledger.Usage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Fetches missing records from other storage nodes; not thread-safe. */
final class RecordSync {
    private static final Logger LOG = LoggerFactory.getLogger(RecordSync.class);
    private static final long CALL_TIMEOUT_MS = 1500;
    private static final int MAX_FETCH_TURNS = 128;

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

    private record Summary(
            List<String> turnIds,
            List<RecordIndex.ProgramUsage> usages,
            List<RecordIndex.AttemptOrigins> origins) {}

    /**
     * Fetches missing records from {@code sources}, and notes that this storage node is synced to
     * {@code view} if they were enough. A storage node that is not a member yet does the same, so
     * that it can take part in quorums as soon as it is added.
     *
     * @param sources storage nodes to read, each with the version of a view before which it holds
     *     all acknowledged records
     */
    void fetchMissing(LedgerView view, Map<LedgerView.Member, Long> sources) {
        Map<LedgerView.Member, Long> read = new HashMap<>();
        sources.forEach(
                (source, syncedVersion) -> {
                    if (fetchFrom(source, view)) {
                        read.put(source, syncedVersion);
                    }
                });
        boolean complete =
                SyncRule.isComplete(
                        view,
                        membership.previousOf(view),
                        membership.self(),
                        membership.syncedVersion(view),
                        read);
        if (complete && views.current().version() == view.version()) {
            membership.markSynced(view);
        } else {
            LOG.atInfo()
                    .addKeyValue("event", "keeper_not_synced")
                    .addKeyValue("view", view.version())
                    .addKeyValue("syncedVersion", membership.syncedVersion(view))
                    .addKeyValue("read", read)
                    .log();
        }
    }

    /**
     * Fetches turns that stored turns continue from and that this storage node has missed, so that
     * it holds whole chains. Without them each storage node would let another part of a chain
     * expire.
     *
     * @param sources members of {@code view} that are up
     */
    void fetchMissedTurns(LedgerView view, List<LedgerView.Member> sources) {
        for (LedgerView.Member source : sources) {
            List<String> missed = index.missedTurns(MAX_FETCH_TURNS);
            if (missed.isEmpty()) {
                return;
            }
            List<TurnRecord> turns = fetch(source, view, missed);
            if (turns != null) {
                awaitWrites(turns.stream().map(index::putTurn).toList());
            }
        }
    }

    private static boolean awaitWrites(List<CompletableFuture<Void>> writes) {
        try {
            CompletableFuture.allOf(writes.toArray(new CompletableFuture<?>[0])).join();
            return true;
        } catch (CompletionException e) {
            LOG.atWarn().addKeyValue("event", "sync_write_failed").setCause(e).log();
            return false;
        }
    }

    private boolean fetchFrom(LedgerView.Member source, LedgerView view) {
        Summary summary =
                storageNodes.call(
                        source,
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
            writes.add(index.putUsage(usage, true));
        }
        summary.origins().forEach(origins -> writes.addAll(putMissing(origins)));
        Set<String> storedIds = index.turnIds();
        List<String> missing = new ArrayList<>(summary.turnIds());
        missing.removeIf(storedIds::contains);
        int fetched = 0;
        while (fetched < missing.size()) {
            int from = fetched;
            List<String> ids =
                    missing.subList(from, Math.min(missing.size(), from + MAX_FETCH_TURNS));
            List<TurnRecord> turns = fetch(source, view, ids);
            if (turns == null || turns.isEmpty()) {
                // An empty response means that the turns have expired since the summary. Null means
                // that the call failed, so that the sync is incomplete.
                if (turns == null) {
                    return false;
                }
                fetched += ids.size();
                continue;
            }
            turns.forEach(turn -> writes.add(index.putTurn(turn)));
            fetched = missing.indexOf(turns.getLast().id()) + 1;
        }
        if (!awaitWrites(writes)) {
            return false;
        }
        LOG.atInfo()
                .addKeyValue("event", "keeper_read")
                .addKeyValue("keeper", source.node())
                .addKeyValue("view", view.version())
                .addKeyValue("turnsThere", summary.turnIds().size())
                .addKeyValue("turnsFetched", missing.size())
                .addKeyValue("usages", summary.usages().size())
                .log();
        return true;
    }

    private List<CompletableFuture<Void>> putMissing(RecordIndex.AttemptOrigins found) {
        Set<StreamOrigin> stored = index.origins(found.attempt());
        List<CompletableFuture<Void>> writes = new ArrayList<>();
        for (StreamOrigin origin : found.origins()) {
            if (!stored.contains(origin)) {
                writes.add(index.putOrigin(found.attempt(), origin, found.retentionMs()));
            }
        }
        return writes;
    }

    private List<TurnRecord> fetch(LedgerView.Member source, LedgerView view, List<String> ids) {
        byte[] body =
                LedgerCodec.encode(
                        out -> {
                            out.writeInt(ids.size());
                            for (String id : ids) {
                                out.writeUTF(id);
                            }
                        });
        return storageNodes.call(
                source,
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
            usages.add(
                    new RecordIndex.ProgramUsage(
                            program, usage, in.readLong(), RecordIndex.UNKNOWN_TIME));
        }
        List<RecordIndex.AttemptOrigins> origins = new ArrayList<>();
        // Storage nodes of earlier releases end the message here.
        int attempts = in.available() == 0 ? 0 : in.readInt();
        for (int i = 0; i < attempts; i++) {
            origins.add(
                    new RecordIndex.AttemptOrigins(
                            in.readUTF(), LedgerCodec.readOrigins(in), in.readLong()));
        }
        for (int i = 0; i < usages.size() && in.available() > 0; i++) {
            RecordIndex.ProgramUsage usage = usages.get(i);
            usages.set(
                    i,
                    new RecordIndex.ProgramUsage(
                            usage.program(), usage.usage(), usage.retentionMs(), in.readLong()));
        }
        return new Summary(ids, usages, origins);
    }
}
