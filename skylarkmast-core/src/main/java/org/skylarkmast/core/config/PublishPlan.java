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
 * <p>The last one writes the head and takes effect only while the head is still the one the change
 * was based on. A change too large for one transaction has its chunks written ahead; being named by
 * their content, they are invisible until a head names them.
 *
 * @param preparations transactions that write chunks ahead, mostly none
 * @param commit the transaction that decides; sending it again is idempotent
 * @param head the head it writes
 */
public record PublishPlan(List<Txn> preparations, Txn commit, ConfigurationHead head) {

    /** Bytes of values in one transaction; the service refuses requests of 1.5 MB (etcd). */
    static final int MAX_TXN_BYTES = 1_000_000;

    public PublishPlan {
        preparations = List.copyOf(preparations);
    }

    /**
     * A stored head.
     *
     * @param head its value
     * @param modRevision the service's revision of its last write
     */
    public record StoredHead(ConfigurationHead head, long modRevision) {}

    /**
     * Plans the publish of {@code next}.
     *
     * @param base the head that the change was based on; empty before the first publish
     * @param writeId unique id by which a lost answer is settled
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
        List<List<Write>> batches = batches(newChunks(base, chunks));
        List<Txn> preparations = new ArrayList<>();
        for (List<Write> batch : batches.subList(0, batches.size() - 1)) {
            preparations.add(new Txn(List.of(), batch));
            for (Write write : batch) {
                conditions.add(new Condition.KeyPresent(((Write.Put) write).key()));
            }
        }
        List<Write> writes = new ArrayList<>(batches.getLast());
        base.ifPresent(stored -> writes.addAll(removals(stored.head(), digests)));
        writes.add(new Write.Put(ConfigurationKeys.HEAD, head.encode(), 0));
        Txn commit = new Txn(conditions, writes, List.of(ConfigurationKeys.HEAD));
        return new PublishPlan(preparations, commit, head);
    }

    private static List<Chunk> newChunks(Optional<StoredHead> base, List<Chunk> chunks) {
        Set<String> stored = new HashSet<>();
        base.ifPresent(head -> stored.addAll(head.head().chunks()));
        return chunks.stream().filter(chunk -> !stored.contains(chunk.digest())).toList();
    }

    /** Removes what neither the new head nor the one before it names. */
    private static List<Write> removals(ConfigurationHead base, List<String> digests) {
        Set<String> unused = new HashSet<>(base.previousChunks());
        base.chunks().forEach(unused::remove);
        digests.forEach(unused::remove);
        return unused.stream()
                .sorted()
                .<Write>map(digest -> new Write.Delete(ConfigurationKeys.chunk(digest)))
                .toList();
    }

    /** Groups the chunks into batches below the limit; always at least one, perhaps empty. */
    private static List<List<Write>> batches(List<Chunk> chunks) {
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
