package org.skylarkmast.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkmast.core.config.ConfigurationChunks.Chunk;
import org.skylarkmast.core.store.Condition;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.Write;

/**
 * The transactions that publish one configuration.
 *
 * <p>The last one writes the head, on condition that the head is still the one that the change is
 * based on. If a change is too large for one transaction, some chunks are written beforehand.
 * Chunks are keyed by the digest of their content, so they are not visible until a head lists them.
 *
 * @param preparations transactions that write chunks before the commit; usually none
 * @param commit the transaction that publishes the configuration; sending it again is idempotent
 * @param head the head that {@code commit} writes
 */
public record PublishPlan(List<Txn> preparations, Txn commit, ConfigurationHead head) {

    /** Maximum size of the values in one transaction; etcd rejects requests above 1.5 MB. */
    static final int MAX_TXN_BYTES = 1_000_000;

    public PublishPlan {
        preparations = List.copyOf(preparations);
    }

    /**
     * A stored head.
     *
     * @param head its value
     * @param modRevision revision of the key-value service at which the head was last written
     */
    public record StoredHead(ConfigurationHead head, long modRevision) {}

    /**
     * Plans the transactions that publish {@code next}.
     *
     * @param base the head that the change is based on; empty before the first publish
     * @param writeId unique id that identifies the write after its answer was lost
     */
    public static PublishPlan of(Optional<StoredHead> base, Configuration next, String writeId) {
        List<Chunk> chunks = ConfigurationChunks.split(next);
        List<String> digests = chunks.stream().map(Chunk::digest).toList();
        ConfigurationHead head =
                base.map(stored -> stored.head().next(digests, writeId))
                        .orElseGet(() -> ConfigurationHead.first(digests, writeId));
        List<Condition> conditions = new ArrayList<>();
        conditions.add(
                base.<Condition>map(
                                stored ->
                                        new Condition.ModRevisionIs(
                                                ConfigurationKeys.HEAD, stored.modRevision()))
                        .orElseGet(() -> new Condition.KeyAbsent(ConfigurationKeys.HEAD)));
        List<List<Write>> batches = groupIntoBatches(newChunks(base, chunks));
        List<Txn> preparations = new ArrayList<>();
        for (List<Write> batch : batches.subList(0, batches.size() - 1)) {
            preparations.add(new Txn(List.of(), batch));
            for (Write write : batch) {
                conditions.add(new Condition.KeyPresent(((Write.Put) write).key()));
            }
        }
        List<Write> writes = new ArrayList<>(batches.getLast());
        base.ifPresent(stored -> writes.addAll(deletionsOfUnused(stored.head(), digests)));
        writes.add(new Write.Put(ConfigurationKeys.HEAD, head.encode(), 0));
        Txn commit = new Txn(conditions, writes, List.of(ConfigurationKeys.HEAD));
        return new PublishPlan(preparations, commit, head);
    }

    private static List<Chunk> newChunks(Optional<StoredHead> base, List<Chunk> chunks) {
        Set<String> stored = new HashSet<>();
        base.ifPresent(head -> stored.addAll(head.head().chunks()));
        return chunks.stream().filter(chunk -> !stored.contains(chunk.digest())).toList();
    }

    /** Deletes the chunks that neither the new head nor its predecessor lists. */
    private static List<Write> deletionsOfUnused(ConfigurationHead base, List<String> digests) {
        Set<String> unused = new HashSet<>(base.previousChunks());
        base.chunks().forEach(unused::remove);
        digests.forEach(unused::remove);
        return unused.stream()
                .sorted()
                .<Write>map(digest -> new Write.Delete(ConfigurationKeys.chunk(digest)))
                .toList();
    }

    /**
     * Groups the chunks into batches below the limit; returns at least one batch, which may be
     * empty.
     */
    private static List<List<Write>> groupIntoBatches(List<Chunk> chunks) {
        List<List<Write>> batches = new ArrayList<>();
        batches.add(new ArrayList<>());
        int bytes = 0;
        for (Chunk chunk : chunks) {
            if (bytes > 0 && bytes + chunk.bytes().length > MAX_TXN_BYTES) {
                batches.add(new ArrayList<>());
                bytes = 0;
            }
            bytes += chunk.bytes().length;
            batches.getLast()
                    .add(new Write.Put(ConfigurationKeys.chunk(chunk.digest()), chunk.bytes(), 0));
        }
        return batches;
    }
}
