package org.skylarkmast.daemon.membership;

import java.util.List;
import org.skylarkmast.core.scheduling.PeerLoad;

/** Sends a heartbeat with this node's load to a peer. */
@FunctionalInterface
public interface HeartbeatSender {

    /** Sends a heartbeat and blocks until it is answered or its time is up. */
    Reply send(String peerAddress);

    /** What became of a heartbeat. */
    sealed interface Reply {

        /**
         * The peer answered.
         *
         * @param incarnation of whoever answered at that address
         * @param loads what it has under way
         */
        record Answered(String incarnation, boolean draining, List<PeerLoad> loads)
                implements Reply {
            public Answered {
                loads = List.copyOf(loads);
            }
        }

        /** No answer came in time. */
        record Missed() implements Reply {}
    }
}
