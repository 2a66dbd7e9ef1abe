package org.skylarkmast.core.store;

/** An event reported by a watch. */
public sealed interface WatchEvent {

    /** {@code entry} was written. */
    record Written(StoreEntry entry) implements WatchEvent {}

    /**
     * {@code key} was removed at {@code revision}, by a delete, or because its lease expired or was
     * revoked.
     */
    record Removed(String key, long revision) implements WatchEvent {}

    /**
     * The watch ended and cannot continue from its last revision; the watcher must read the whole
     * range again and start a new watch from the revision of that read.
     */
    record Lost(String reason) implements WatchEvent {}
}
