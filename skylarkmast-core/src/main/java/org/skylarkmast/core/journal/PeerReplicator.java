package org.skylarkmast.core.journal;

import java.util.List;

/** Sends copies of records to peers in other failure domains. */
@FunctionalInterface
public interface PeerReplicator {

    /**
     * Sends {@code copies} and {@code committed}; blocks until enough peers have answered or the
     * timeout expires.
     *
     * @param copies records of which peers are to keep copies; may be empty
     * @param committed marks of the copies that peers may drop; may be empty
     * @return number of peers in other failure domains that now hold all of {@code copies}
     */
    int replicate(List<CopiedRecord> copies, List<CopyMark> committed);
}
