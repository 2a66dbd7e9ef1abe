package org.skylarkmast.core.store;

import java.util.List;

/**
 * Entries read at one revision, in key order.
 *
 * @param revision revision of the service at which the entries were read
 * @param more whether the limit excluded further entries
 */
public record RangeResult(List<StoreEntry> entries, long revision, boolean more) {

    public RangeResult {
        entries = List.copyOf(entries);
    }
}
