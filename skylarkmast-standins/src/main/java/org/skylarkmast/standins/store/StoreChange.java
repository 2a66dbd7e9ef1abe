package org.skylarkmast.standins.store;

import java.util.Optional;

/**
 * A key's change at one revision.
 *
 * @param stored what is held now; empty after a removal
 */
public record StoreChange(String key, long revision, Optional<Stored> stored) {}
