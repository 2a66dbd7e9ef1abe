package org.skylarkmast.daemon.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.skylarkmast.core.ownership.SessionRecord;

/**
 * The other nodes, also while the key-value service is down and their sessions have lapsed.
 *
 * <p>Thread-safe.
 */
public final class KnownPeers {

    /** Time for which a node without a session is still tried; longer than a usual outage. */
    private static final long REMEMBERED_NS = 3_600_000_000_000L;

    private final String ownNode;
    private final Supplier<Map<String, SessionRecord>> sessions;
    private final LongSupplier clockNs;
    private final Map<String, Seen> seenByNode = new HashMap<>();

    private record Seen(SessionRecord session, long atNs) {}

    /**
     * @param sessions live sessions by incarnation, as last read
     */
    public KnownPeers(
            String ownNode, Supplier<Map<String, SessionRecord>> sessions, LongSupplier clockNs) {
        this.ownNode = ownNode;
        this.sessions = sessions;
        this.clockNs = clockNs;
    }

    /** All other nodes seen lately. */
    public synchronized List<SessionRecord> all() {
        long nowNs = clockNs.getAsLong();
        for (SessionRecord session : sessions.get().values()) {
            if (!session.node().equals(ownNode)) {
                seenByNode.put(session.node(), new Seen(session, nowNs));
            }
        }
        seenByNode.values().removeIf(seen -> nowNs - seen.atNs() > REMEMBERED_NS);
        return seenByNode.values().stream().map(Seen::session).toList();
    }
}
