/**
 * Interface to the key-value service: compare-and-swap transactions, leases and watches.
 *
 * <p>This package holds no state; implementations hold their connection. Input: {@link
 * org.skylarkmast.core.store.Txn}. Output: {@link org.skylarkmast.core.store.StoreOutcome}. A lost
 * answer to a write that may have taken effect is a separate outcome, so that callers cannot
 * mistake it for a failure.
 */
package org.skylarkmast.core.store;
