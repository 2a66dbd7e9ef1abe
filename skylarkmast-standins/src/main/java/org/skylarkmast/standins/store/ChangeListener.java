package org.skylarkmast.standins.store;

import java.util.List;

/** Takes the changes a watch sees; called inside the store's lock, so it must only enqueue. */
public interface ChangeListener {

    /** Takes all changes made at one revision. */
    void onChanges(List<StoreChange> changes);

    /**
     * Ends the watch, since the revisions it asked for are gone.
     *
     * @param compactRevision oldest revision from which a new watch can start
     */
    void onCompacted(long compactRevision);
}
