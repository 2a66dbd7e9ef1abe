/**
 * Stand-in for the key-value service: an in-memory store with the semantics of etcd.
 *
 * <p>{@link org.skylarkmast.standins.store.StoreState} holds the keys, leases and watches. Clients
 * reach it in the same process as {@link org.skylarkmast.core.store.KeyValueStore}, or over the
 * gRPC API of etcd.
 */
package org.skylarkmast.standins.store;
