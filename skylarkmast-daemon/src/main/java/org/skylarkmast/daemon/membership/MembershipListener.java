package org.skylarkmast.daemon.membership;

import java.util.List;
import org.skylarkmast.core.membership.MemberView;
import org.skylarkmast.core.scheduling.PeerLoad;

/** Told of changes of membership; called on the membership loop. */
public interface MembershipListener {

    /** The view of the nodes changed. */
    void viewChanged(MemberView view);

    /** A peer told what it has under way; it replaces what it told before. */
    void peerLoad(String incarnation, List<PeerLoad> loads);

    /** A peer is gone: what it told is void. */
    void peerGone(String incarnation);

    /** A host began to leave ({@code leaving}), or does not leave any longer. */
    void hostLeaving(String address, boolean leaving);
}
