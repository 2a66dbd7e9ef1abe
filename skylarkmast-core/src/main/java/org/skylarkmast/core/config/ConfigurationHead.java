package org.skylarkmast.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkmast.core.json.JsonUtil;

/**
 * The one value that says which configuration is published.
 *
 * @param revision the configuration's revision, above 0
 * @param chunks digests of the chunks that hold the objects
 * @param previousChunks digests of the revision before, kept for readers that are still at it; the
 *     next publish removes those that are not used any more
 * @param recentWrites the latest writes, newest first; the first made this head
 */
public record ConfigurationHead(
        long revision,
        List<String> chunks,
        List<String> previousChunks,
        List<RecentWrite> recentWrites) {

    /**
     * Writes remembered. A writer whose answer was lost can tell what became of its write until
     * this many others have followed.
     */
    public static final int MAX_RECENT_WRITES = 16;

    public ConfigurationHead {
        chunks = List.copyOf(chunks);
        previousChunks = List.copyOf(previousChunks);
        recentWrites = List.copyOf(recentWrites);
    }

    /**
     * A publish that took effect.
     *
     * @param writeId unique id chosen by the writer
     * @param revision the revision it made
     */
    public record RecentWrite(String writeId, long revision) {}

    /** Reads a head; empty if {@code bytes} are not one. */
    public static Optional<ConfigurationHead> decode(byte[] bytes) {
        try {
            return Optional.of(JsonUtil.fromBytes(bytes, ConfigurationHead.class));
        } catch (IllegalStateException | NullPointerException e) {
            return Optional.empty();
        }
    }

    /** The stored form. */
    public byte[] encode() {
        return JsonUtil.toBytes(this);
    }

    /** The head of the first publish. */
    public static ConfigurationHead first(List<String> chunks, String writeId) {
        return new ConfigurationHead(1, chunks, List.of(), List.of(new RecentWrite(writeId, 1)));
    }

    /** The head of the publish that follows this one. */
    public ConfigurationHead next(List<String> nextChunks, String writeId) {
        List<RecentWrite> writes = new ArrayList<>();
        writes.add(new RecentWrite(writeId, revision + 1));
        writes.addAll(
                recentWrites.subList(0, Math.min(recentWrites.size(), MAX_RECENT_WRITES - 1)));
        return new ConfigurationHead(revision + 1, nextChunks, chunks, writes);
    }

    /** The revision that {@code writeId} made, if it is among the recent writes. */
    public OptionalLong revisionOf(String writeId) {
        return recentWrites.stream()
                .filter(write -> write.writeId().equals(writeId))
                .mapToLong(RecentWrite::revision)
                .findFirst();
    }

    /** Whether every write that followed {@code baseRevision} is still among the recent ones. */
    public boolean remembersSince(long baseRevision) {
        return revision - baseRevision <= recentWrites.size();
    }
}
