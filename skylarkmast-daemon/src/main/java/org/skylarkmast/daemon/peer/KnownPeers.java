package org.skylarkmast.daemon.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.skylarkmast.core.ownership.SessionRecord;

/**
 * The other nodes of the cluster, remembered while the key-value service is unavailable and their
 * sessions have expired.
 *
 * <p>Thread-safe.
 */
public final class KnownPeers {

    /** Time for which a node without a session is still contacted; longer than a typical outage. */
    private static final long RETENTION_NS = 3_600_000_000_000L;

    private final String ownNode;
    private final Supplier<Map<String, SessionRecord>> sessions;
    private final LongSupplier clockNs;
    private final Map<String, SeenPeer> seenByNode = new HashMap<>();

    private record SeenPeer(SessionRecord session, long seenAtNs) {}

    /**
     * @param sessions live sessions by incarnation, as last read from the key-value service
     */
    public KnownPeers(
            String ownNode, Supplier<Map<String, SessionRecord>> sessions, LongSupplier clockNs) {
        this.ownNode = ownNode;
        this.sessions = sessions;
        this.clockNs = clockNs;
    }

    /** Returns all other nodes that had a session within the retention time. */
    public synchronized List<SessionRecord> all() {
        long nowNs = clockNs.getAsLong();
        for (SessionRecord session : sessions.get().values()) {
            if (!session.node().equals(ownNode)) {
                seenByNode.put(session.node(), new SeenPeer(session, nowNs));
            }
        }
        seenByNode.values().removeIf(seen -> nowNs - seen.seenAtNs() > RETENTION_NS);
        return seenByNode.values().stream().map(SeenPeer::session).toList();
    }
}
