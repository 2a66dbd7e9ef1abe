package org.skylarkmast.relay.mirror;

import java.util.List;
import java.util.Optional;
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
 * @param proof what the sender knows of the newest configuration; empty if nothing
 */
public record MirrorChanges(
        long revision,
        boolean snapshot,
        boolean upToDate,
        List<StoreEntry> written,
        List<Removed> removed,
        Optional<CurrencyProof.Statement> proof) {

    /** A key that was removed at {@code revision} or earlier. */
    public record Removed(String key, long revision) {}

    public MirrorChanges {
        written = List.copyOf(written);
        removed = List.copyOf(removed);
    }

    /** Creates changes without a proof. */
    public MirrorChanges(
            long revision,
            boolean snapshot,
            boolean upToDate,
            List<StoreEntry> written,
            List<Removed> removed) {
        this(revision, snapshot, upToDate, written, removed, Optional.empty());
    }

    /** Returns these changes with {@code other} as the proof. */
    MirrorChanges withProof(Optional<CurrencyProof.Statement> other) {
        return new MirrorChanges(revision, snapshot, upToDate, written, removed, other);
    }
}
