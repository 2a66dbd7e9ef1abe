/**
 * The key-value service as the scheduler sees it: compare-and-swap transactions, leases, watches.
 *
 * <p>State: none here; adapters keep their connection. Messages: {@link
 * org.skylarkmast.core.store.Txn} in, {@link org.skylarkmast.core.store.StoreOutcome} out. An
 * answer that may have been lost after the write took effect is its own outcome, so that no caller
 * can take it for a failure.
 */
package org.skylarkmast.core.store;
