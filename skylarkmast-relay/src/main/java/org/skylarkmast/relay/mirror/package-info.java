/**
 * Replicates the key-value service's content to each process: storage nodes watch the service,
 * exchange changes, and serve them to entry nodes, so that the number of calls to the service does
 * not grow with the number of entry nodes.
 *
 * <p>State: {@link org.skylarkmast.relay.mirror.StoreMirror}, merged by the service's revisions, so
 * that changes may arrive in any order and from several sources. Messages: {@link
 * org.skylarkmast.relay.mirror.MirrorChanges}.
 */
package org.skylarkmast.relay.mirror;
