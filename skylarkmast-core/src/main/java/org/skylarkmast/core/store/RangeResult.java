package org.skylarkmast.core.store;

import java.util.List;

/**
 * Keys read at one revision, in key order.
 *
 * @param revision the service's revision at the read
 * @param more whether the limit cut the result short
 */
public record RangeResult(List<StoreEntry> entries, long revision, boolean more) {

    public RangeResult {
        entries = List.copyOf(entries);
    }
}
