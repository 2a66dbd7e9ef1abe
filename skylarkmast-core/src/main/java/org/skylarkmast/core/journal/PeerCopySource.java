package org.skylarkmast.core.journal;

import java.util.List;

/** Collects the copies of records that live peers hold. */
@FunctionalInterface
public interface PeerCopySource {

    /**
     * Returns all copies of the partition's records that live peers, including this node, hold;
     * blocks.
     *
     * @return copies in any order, possibly with duplicates
     */
    List<CopiedRecord> copiesOf(int partition);
}
