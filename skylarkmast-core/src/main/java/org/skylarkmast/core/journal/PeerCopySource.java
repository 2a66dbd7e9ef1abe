package org.skylarkmast.core.journal;

import java.util.List;

/** Collects copies that live peers keep. */
@FunctionalInterface
public interface PeerCopySource {

    /**
     * All copies of the partition's records that any live peer, this node included, keeps; blocks.
     *
     * @return copies in any order, duplicates included
     */
    List<CopiedRecord> copiesOf(int partition);
}
