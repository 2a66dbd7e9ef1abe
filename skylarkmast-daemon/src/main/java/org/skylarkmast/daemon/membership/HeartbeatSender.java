package org.skylarkmast.daemon.membership;

import java.util.List;
import org.skylarkmast.core.scheduling.PeerLoad;

/** Sends a heartbeat with the load of this node to a peer. */
@FunctionalInterface
public interface HeartbeatSender {

    /** Sends a heartbeat and blocks until it is answered or times out. */
    Outcome send(String peerAddress);

    /** The outcome of a heartbeat. */
    sealed interface Outcome {

        /**
         * The peer answered.
         *
         * @param incarnation incarnation of the node that answered at that address
         * @param loads load of that node on each runner
         */
        record Answered(String incarnation, boolean draining, List<PeerLoad> loads)
                implements Outcome {
            public Answered {
                loads = List.copyOf(loads);
            }
        }

        /** The peer did not answer in time. */
        record Missed() implements Outcome {}
    }
}
