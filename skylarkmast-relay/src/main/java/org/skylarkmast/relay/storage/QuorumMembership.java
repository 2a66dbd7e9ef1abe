package org.skylarkmast.relay.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks whether this storage node takes part in quorums; thread-safe.
 *
 * <p>It does once it holds all records that were acknowledged before the view that precedes the
 * current one. Records acknowledged under the preceding view need not have been fetched yet: write
 * quorums of the two views overlap. The version up to which its records are complete is on disk, so
 * it takes part at once after a restart: it may lack records written while it was down, which
 * quorums tolerate.
 */
public final class QuorumMembership {
    private static final Logger LOG = LoggerFactory.getLogger(QuorumMembership.class);

    private final LedgerView.Member self;
    private final ViewStore viewStore;
    private final CurrentView views;

    /**
     * @param viewStore the sync state on this storage node's disk
     * @param views the current view
     */
    public QuorumMembership(LedgerView.Member self, ViewStore viewStore, CurrentView views) {
        this.self = self;
        this.viewStore = viewStore;
        this.views = views;
    }

    /** This storage node. */
    public LedgerView.Member self() {
        return self;
    }

    /** Whether it answers quorum calls under the current view. */
    public boolean voting() {
        LedgerView view = views.current();
        return view.contains(self) && isCompleteBefore(view);
    }

    private boolean isCompleteBefore(LedgerView view) {
        long synced = syncedVersion(view);
        return synced > 0 && synced >= view.version() - 1;
    }

    /** Whether its disk has at some time held all acknowledged records. */
    public boolean initialSyncDone() {
        return viewStore.initialSyncDone() || viewStore.syncedVersion() > 0;
    }

    /** The status that it reports to other storage nodes. */
    public StorageNodeStatus status() {
        LedgerView view = views.current();
        return new StorageNodeStatus(view, voting(), syncedVersion(view));
    }

    /**
     * Version of a view before which it holds all acknowledged records, as seen under {@code view};
     * 0 if its disk has never held them.
     */
    long syncedVersion(LedgerView view) {
        long synced = viewStore.syncedVersion();
        // The disk of an earlier release does not tell the version. There, a storage node whose
        // initial sync was done took part in each view.
        return synced == 0 && viewStore.initialSyncDone() ? view.version() - 1 : synced;
    }

    /** The view before {@code view}, or null if this storage node has not received it. */
    LedgerView previousOf(LedgerView view) {
        return viewStore.view(view.version() - 1);
    }

    /**
     * Records that this storage node has on disk all records acknowledged before {@code view}.
     *
     * @throws UncheckedIOException if that could not be written to disk
     */
    void markSynced(LedgerView view) {
        try {
            viewStore.storeSyncedVersion(view.version());
            if (view.contains(self)) {
                viewStore.storeInitialSync();
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot store the synced version", e);
        }
        LOG.atInfo()
                .addKeyValue("event", view.contains(self) ? "keeper_synced" : "keeper_prefetched")
                .addKeyValue("view", view.version())
                .log();
    }
}
