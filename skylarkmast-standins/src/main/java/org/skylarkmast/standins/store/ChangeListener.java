package org.skylarkmast.standins.store;

import java.util.List;

/**
 * Receives the changes of a watch. Called while the lock of the store is held, so an implementation
 * must only enqueue.
 */
public interface ChangeListener {

    /** Called with all watched changes of one revision. */
    void onChanges(List<StoreChange> changes);

    /**
     * Called if the watch cannot start, since the requested revisions were compacted.
     *
     * @param compactRevision lowest revision from which a new watch can start
     */
    void onCompacted(long compactRevision);
}
