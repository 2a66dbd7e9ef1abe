/**
 * The adapter to the platform's key-value service over etcd's gRPC API.
 *
 * <p>State: one connection and the open watches. Messages: those of {@link
 * org.skylarkmast.core.store}. A failed write is reported as not applied only if that is certain;
 * see {@link org.skylarkmast.daemon.store.EtcdStore}.
 */
package org.skylarkmast.daemon.store;
