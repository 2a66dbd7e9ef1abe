package org.skylarkmast.core.store;

import java.util.List;

/**
 * The result of a completed transaction.
 *
 * @param succeeded whether all conditions held and the writes took effect
 * @param revision the service's revision when the transaction was decided
 * @param entries current entries of the keys asked for, when it did not succeed; absent keys are
 *     left out
 */
public record TxnResult(boolean succeeded, long revision, List<StoreEntry> entries) {

    public TxnResult {
        entries = List.copyOf(entries);
    }
}
