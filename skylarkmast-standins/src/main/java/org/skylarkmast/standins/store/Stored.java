package org.skylarkmast.standins.store;

import org.skylarkmast.core.store.StoreEntry;

/**
 * A key as the store holds it.
 *
 * @param version writes since the key came to be, from 1
 */
public record Stored(StoreEntry entry, long version) {}
