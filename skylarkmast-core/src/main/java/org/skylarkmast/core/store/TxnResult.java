package org.skylarkmast.core.store;

import java.util.List;

/**
 * The result of a completed transaction.
 *
 * @param succeeded whether all conditions held and the writes took effect
 * @param revision revision of the service at which the transaction was executed
 * @param entries current entries of the requested keys if the transaction did not succeed; keys
 *     that do not exist are omitted
 */
public record TxnResult(boolean succeeded, long revision, List<StoreEntry> entries) {

    public TxnResult {
        entries = List.copyOf(entries);
    }
}
