package org.skylarkmast.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkmast.core.json.JsonUtil;

/**
 * The single stored value that determines which configuration is published.
 *
 * @param revision the configuration's revision, above 0
 * @param chunks digests of the chunks that hold the objects
 * @param previousChunks digests of the chunks of the previous revision, which are kept for readers
 *     that have read the previous head; the next publish deletes those that are no longer used
 * @param recentWrites the latest writes, newest first; the first one wrote this head
 */
public record ConfigurationHead(
        long revision,
        List<String> chunks,
        List<String> previousChunks,
        List<RecentWrite> recentWrites) {

    /**
     * Number of writes listed. A writer whose answer was lost can determine the result of its write
     * until this many other writes have followed.
     */
    public static final int MAX_RECENT_WRITES = 16;

    public ConfigurationHead {
        chunks = List.copyOf(chunks);
        previousChunks = List.copyOf(previousChunks);
        recentWrites = List.copyOf(recentWrites);
    }

    /**
     * A write that took effect.
     *
     * @param writeId unique id chosen by the writer
     * @param revision the revision that it created
     */
    public record RecentWrite(String writeId, long revision) {}

    /** Decodes a head; empty if {@code bytes} are not a valid head. */
    public static Optional<ConfigurationHead> decode(byte[] bytes) {
        try {
            return Optional.of(JsonUtil.fromBytes(bytes, ConfigurationHead.class));
        } catch (IllegalStateException | NullPointerException e) {
            return Optional.empty();
        }
    }

    /** Encodes the head as it is stored. */
    public byte[] encode() {
        return JsonUtil.toBytes(this);
    }

    /** Creates the head of the first revision. */
    public static ConfigurationHead first(List<String> chunks, String writeId) {
        return new ConfigurationHead(1, chunks, List.of(), List.of(new RecentWrite(writeId, 1)));
    }

    /** Creates the head of the next revision. */
    public ConfigurationHead next(List<String> nextChunks, String writeId) {
        List<RecentWrite> writes = new ArrayList<>();
        writes.add(new RecentWrite(writeId, revision + 1));
        writes.addAll(
                recentWrites.subList(0, Math.min(recentWrites.size(), MAX_RECENT_WRITES - 1)));
        return new ConfigurationHead(revision + 1, nextChunks, chunks, writes);
    }

    /** Returns the revision that {@code writeId} created, if it is among the recent writes. */
    public OptionalLong revisionOf(String writeId) {
        return recentWrites.stream()
                .filter(write -> write.writeId().equals(writeId))
                .mapToLong(RecentWrite::revision)
                .findFirst();
    }

    /** Whether every write after {@code baseRevision} is still among the recent writes. */
    public boolean listsAllWritesSince(long baseRevision) {
        return revision - baseRevision <= recentWrites.size();
    }
}
