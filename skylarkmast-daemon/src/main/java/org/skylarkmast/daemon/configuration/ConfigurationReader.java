package org.skylarkmast.daemon.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.ConfigurationChunks;
import org.skylarkmast.core.config.ConfigurationChunks.Chunk;
import org.skylarkmast.core.config.ConfigurationHead;
import org.skylarkmast.core.config.ConfigurationKeys;
import org.skylarkmast.core.config.PublishPlan.StoredHead;
import org.skylarkmast.core.config.ValidationOutcome;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreOutcome;

/**
 * Reads published configurations from the key-value service.
 *
 * <p>Caches the chunks of the last configuration, so that only changed chunks have to be read.
 * Thread-safe.
 */
public final class ConfigurationReader {
    private final KeyValueStore store;
    private Map<String, Chunk> cachedChunks = Map.of();

    /**
     * Creates a reader.
     *
     * @param store client of the key-value service
     */
    public ConfigurationReader(KeyValueStore store) {
        this.store = store;
    }

    /** Reads the configuration head. */
    public HeadReadOutcome readHead() {
        return switch (store.read(ConfigurationKeys.HEAD)) {
            case StoreOutcome.Done<RangeResult>(RangeResult result) ->
                    result.entries().isEmpty()
                            ? new HeadReadOutcome.Absent(result.revision())
                            : decodeHead(result.entries().getFirst(), result.revision());
            case StoreOutcome.NotApplied<RangeResult>(String reason) ->
                    new HeadReadOutcome.Unavailable(reason);
            case StoreOutcome.Unknown<RangeResult>(String reason) ->
                    new HeadReadOutcome.Unavailable(reason);
        };
    }

    /** Decodes the head in {@code entry}, which was read at {@code storeRevision}. */
    static HeadReadOutcome decodeHead(StoreEntry entry, long storeRevision) {
        Optional<ConfigurationHead> head = ConfigurationHead.decode(entry.value());
        return head.isEmpty()
                ? new HeadReadOutcome.Corrupt()
                : new HeadReadOutcome.Found(
                        new StoredHead(head.get(), entry.modRevision()), storeRevision);
    }

    /** Reads and validates the configuration that {@code head} refers to. */
    public LoadOutcome load(ConfigurationHead head) {
        Map<String, Chunk> chunks = new HashMap<>();
        List<String> missing = new ArrayList<>();
        Map<String, Chunk> cached = cachedChunks();
        for (String digest : head.chunks()) {
            Chunk chunk = cached.get(digest);
            if (chunk == null) {
                missing.add(digest);
            } else {
                chunks.put(digest, chunk);
            }
        }
        for (StoreOutcome<RangeResult> outcome : readChunks(missing)) {
            switch (outcome) {
                case StoreOutcome.Done<RangeResult>(RangeResult result) -> {
                    if (result.entries().isEmpty()) {
                        return new LoadOutcome.Superseded();
                    }
                    StoreEntry entry = result.entries().getFirst();
                    String digest = entry.key().substring(ConfigurationKeys.chunk("").length());
                    chunks.put(digest, new Chunk(digest, entry.value()));
                }
                case StoreOutcome.NotApplied<RangeResult>(String reason) -> {
                    return new LoadOutcome.Unavailable(reason);
                }
                case StoreOutcome.Unknown<RangeResult>(String reason) -> {
                    return new LoadOutcome.Unavailable(reason);
                }
            }
        }
        return assemble(head, chunks);
    }

    private LoadOutcome assemble(ConfigurationHead head, Map<String, Chunk> chunks) {
        return switch (ConfigurationChunks.assemble(head.revision(), chunks.values())) {
            case ValidationOutcome.Valid(Configuration configuration) -> {
                cacheChunks(chunks);
                yield new LoadOutcome.Loaded(configuration);
            }
            case ValidationOutcome.Invalid invalid -> new LoadOutcome.Unusable(invalid.problems());
        };
    }

    private synchronized Map<String, Chunk> cachedChunks() {
        return cachedChunks;
    }

    private synchronized void cacheChunks(Map<String, Chunk> chunks) {
        cachedChunks = Map.copyOf(chunks);
    }

    /**
     * Reads the chunks concurrently, so that a slow service delays a change of many chunks only
     * once.
     */
    private List<StoreOutcome<RangeResult>> readChunks(List<String> digests) {
        if (digests.size() == 1) {
            return List.of(store.read(ConfigurationKeys.chunk(digests.getFirst())));
        }
        List<Future<StoreOutcome<RangeResult>>> reads = new ArrayList<>();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (String digest : digests) {
                reads.add(executor.submit(() -> store.read(ConfigurationKeys.chunk(digest))));
            }
        }
        List<StoreOutcome<RangeResult>> outcomes = new ArrayList<>();
        for (Future<StoreOutcome<RangeResult>> read : reads) {
            try {
                outcomes.add(read.get());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                outcomes.add(new StoreOutcome.NotApplied<>("interrupted"));
            } catch (ExecutionException e) {
                throw new IllegalStateException(
                        "reading a configuration chunk failed unexpectedly", e);
            }
        }
        return outcomes;
    }
}
