package org.skylarkmast.daemon.journal;

import java.util.List;
import org.skylarkmast.core.journal.CopiedRecord;
import org.skylarkmast.core.journal.JournalState;
import org.skylarkmast.core.journal.PeerCopySource;
import org.skylarkmast.core.journal.ReplayAssembler;
import org.skylarkmast.core.journal.SnapshotHead;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreKeys;
import org.skylarkmast.core.store.StoreOutcome;

/**
 * Reads the journal of a partition that this node has just claimed.
 *
 * <p>Calls block. Once the partition is claimed no other node can change its journal, so pages read
 * one after another are consistent. Thread-safe.
 */
public final class JournalReader {
    private static final int FIRST_PAGE_ENTRIES = 64;

    private final KeyValueStore store;
    private final PeerCopySource copySource;

    /** Outcome of a read. */
    public sealed interface ReadOutcome {

        /** The whole journal was read. */
        record Read(JournalState state) implements ReadOutcome {}

        /** The key-value service did not answer; the read must be repeated later. */
        record Unavailable(String reason) implements ReadOutcome {}
    }

    /**
     * Creates a reader.
     *
     * @param copySource queried for copies at peers before the stored records are read
     */
    public JournalReader(KeyValueStore store, PeerCopySource copySource) {
        this.store = store;
        this.copySource = copySource;
    }

    /** Reads the journal of {@code partition} and adds the copies that peers hold. */
    public ReadOutcome read(int partition) {
        List<CopiedRecord> copies = copySource.copiesOf(partition);
        ReplayAssembler assembler = new ReplayAssembler(partition);
        String prefix = StoreKeys.journalOf(partition);
        String toKey = StoreKeys.endOfPrefix(prefix);
        String fromKey = prefix;
        int pageEntries = FIRST_PAGE_ENTRIES;
        while (true) {
            StoreOutcome<RangeResult> outcome = store.range(fromKey, toKey, pageEntries);
            if (!(outcome instanceof StoreOutcome.Done<RangeResult>(RangeResult page))) {
                if (pageEntries == 1) {
                    return new ReadOutcome.Unavailable(outcome.toString());
                }
                // The page may have exceeded the maximum response size.
                pageEntries /= 8;
                pageEntries = Math.max(1, pageEntries);
                continue;
            }
            page.entries().forEach(entry -> addEntry(assembler, partition, entry));
            if (!page.more() || page.entries().isEmpty()) {
                return new ReadOutcome.Read(assembler.assemble(copies));
            }
            fromKey = page.entries().getLast().key() + '\0';
        }
    }

    private static void addEntry(ReplayAssembler assembler, int partition, StoreEntry entry) {
        String key = entry.key();
        String snapshotPrefix = StoreKeys.journalSnapshots(partition);
        if (key.equals(StoreKeys.journalHead(partition))) {
            assembler.setHead(
                    JsonUtil.fromBytes(entry.value(), SnapshotHead.class), entry.modRevision());
        } else if (key.startsWith(snapshotPrefix)) {
            String[] parts = key.substring(snapshotPrefix.length()).split("/", -1);
            assembler.addChunk(
                    Long.parseLong(parts[0], 16), Integer.parseInt(parts[1], 16), entry.value());
        } else {
            assembler.addBatch(BatchCodec.decode(entry.value()));
        }
    }
}
