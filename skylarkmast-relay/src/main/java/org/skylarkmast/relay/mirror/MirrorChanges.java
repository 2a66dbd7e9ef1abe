package org.skylarkmast.relay.mirror;

import java.util.List;
import org.skylarkmast.core.store.StoreEntry;

/**
 * The changes of a mirror since a revision.
 *
 * @param revision revision up to which the sender has all changes
 * @param snapshot whether {@code written} is the sender's whole content, so that keys missing from
 *     it do not exist
 * @param upToDate whether the sender is up to date with the key-value service
 * @param written the written keys with their values
 * @param removed the removed keys, empty in a snapshot
 */
public record MirrorChanges(
        long revision,
        boolean snapshot,
        boolean upToDate,
        List<StoreEntry> written,
        List<Removed> removed) {

    /** A key that was removed at {@code revision} or earlier. */
    public record Removed(String key, long revision) {}

    public MirrorChanges {
        written = List.copyOf(written);
        removed = List.copyOf(removed);
    }
}
