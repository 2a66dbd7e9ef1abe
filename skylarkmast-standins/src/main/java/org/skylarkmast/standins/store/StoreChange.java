package org.skylarkmast.standins.store;

import java.util.Optional;

/**
 * The change of a key at one revision.
 *
 * @param stored the entry after the change; empty if the key was deleted
 */
public record StoreChange(String key, long revision, Optional<VersionedEntry> stored) {}
