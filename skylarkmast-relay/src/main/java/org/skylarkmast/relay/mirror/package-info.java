/**
 * The key-value service's content in each process, and how it gets there: keepers watch the
 * service, tell each other what is new, and pass it on to entry nodes, so that the calls to the
 * service do not grow with the number of entry nodes.
 *
 * <p>State: {@link org.skylarkmast.relay.mirror.StoreMirror}, merged by the service's revisions, so
 * that changes may come in any order and from several sources. Messages: {@link
 * org.skylarkmast.relay.mirror.MirrorChanges}.
 */
package org.skylarkmast.relay.mirror;
