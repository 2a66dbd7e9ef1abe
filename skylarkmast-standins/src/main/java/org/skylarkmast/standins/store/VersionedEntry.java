package org.skylarkmast.standins.store;

import org.skylarkmast.core.store.StoreEntry;

/**
 * An entry and its version, as in etcd.
 *
 * @param version number of writes since the key was created, starting at 1
 */
public record VersionedEntry(StoreEntry entry, long version) {}
