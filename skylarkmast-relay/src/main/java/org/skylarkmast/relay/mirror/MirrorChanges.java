package org.skylarkmast.relay.mirror;

import java.util.List;
import org.skylarkmast.core.store.StoreEntry;

/**
 * What a mirror holds that is newer than a revision.
 *
 * @param revision revision up to which the sender knows all changes
 * @param whole whether {@code written} is all there is, so that other keys are gone
 * @param live whether the sender is up to date with the key-value service
 */
public record MirrorChanges(
        long revision,
        boolean whole,
        boolean live,
        List<StoreEntry> written,
        List<Removed> removed) {

    /** A key that was removed, known by {@code revision} at the latest. */
    public record Removed(String key, long revision) {}

    public MirrorChanges {
        written = List.copyOf(written);
        removed = List.copyOf(removed);
    }
}
