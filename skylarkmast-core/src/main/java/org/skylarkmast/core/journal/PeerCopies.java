package org.skylarkmast.core.journal;

import java.util.List;

/** Sends copies of records to peers in other failure domains. */
@FunctionalInterface
public interface PeerCopies {

    /**
     * Sends {@code copies} and {@code committed}; blocks until enough peers answered or time is up.
     *
     * @param copies records to keep; may be empty
     * @param committed copies that may be dropped; may be empty
     * @return peers in other failure domains that now hold all of {@code copies}
     */
    int replicate(List<CopiedRecord> copies, List<CopyMark> committed);
}
