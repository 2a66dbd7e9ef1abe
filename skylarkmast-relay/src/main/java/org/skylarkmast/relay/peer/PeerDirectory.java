package org.skylarkmast.relay.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The entry nodes that take requests of this one, by the last load report; thread-safe. */
public final class PeerDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(PeerDirectory.class);

    private volatile List<PeerNode> peers = List.of();

    /** Replaces the peers. */
    public void replace(List<PeerNode> present) {
        List<PeerNode> previous = peers;
        peers = List.copyOf(present);
        if (previous.isEmpty() != present.isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("event", present.isEmpty() ? "peers_lost" : "peers_known")
                    .addKeyValue("peers", present)
                    .log();
        }
    }

    /** Whether no peer is known. */
    public boolean isEmpty() {
        return peers.isEmpty();
    }

    /**
     * Returns the peers in random order, so that nodes that are cut off do not all use the same.
     */
    public List<PeerNode> shuffled() {
        List<PeerNode> shuffled = new ArrayList<>(peers);
        Collections.shuffle(shuffled, ThreadLocalRandom.current());
        return shuffled;
    }
}
