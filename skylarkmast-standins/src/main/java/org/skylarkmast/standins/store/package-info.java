/**
 * The key-value service's stand-in: etcd's semantics in memory, served over gRPC or called direct.
 *
 * <p>State: {@link org.skylarkmast.standins.store.StoreState}. Messages in: transactions, leases
 * and watches, as {@link org.skylarkmast.core.store.KeyValueStore} or as etcd's gRPC API; out:
 * outcomes and changes.
 */
package org.skylarkmast.standins.store;
