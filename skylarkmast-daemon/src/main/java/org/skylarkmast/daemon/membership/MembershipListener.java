package org.skylarkmast.daemon.membership;

import java.util.List;
import org.skylarkmast.core.membership.MemberView;
import org.skylarkmast.core.scheduling.PeerLoad;

/** Receives changes of membership; called on the membership loop. */
public interface MembershipListener {

    /** The set of nodes, or the state of a node, changed. */
    void onViewChanged(MemberView view);

    /** A peer reported its load, which replaces its earlier report. */
    void onPeerLoad(String incarnation, List<PeerLoad> loads);

    /** The session of a peer no longer exists; its reported load is to be discarded. */
    void onPeerGone(String incarnation);

    /** A host began to leave ({@code leaving}), or no longer leaves. */
    void onHostLeaving(String address, boolean leaving);
}
