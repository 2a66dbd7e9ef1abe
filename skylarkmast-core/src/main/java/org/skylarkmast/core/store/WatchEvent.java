package org.skylarkmast.core.store;

/** What a watch reports. */
public sealed interface WatchEvent {

    /** {@code entry} was written. */
    record Written(StoreEntry entry) implements WatchEvent {}

    /** {@code key} was removed at {@code revision}, by a delete or an expired lease. */
    record Removed(String key, long revision) implements WatchEvent {}

    /**
     * The watch cannot go on from where it was; the watcher reads the whole range again and starts
     * a new watch from that read's revision.
     */
    record Lost(String reason) implements WatchEvent {}
}
