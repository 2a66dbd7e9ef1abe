package org.skylarkmast.relay.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks whether this storage node takes part in quorums; thread-safe.
 *
 * <p>A storage node with an empty disk takes part only after an initial sync that fetches the
 * records of the other storage nodes. A marker file on the disk records that this sync is done. A
 * storage node with the marker takes part at once after a restart: it may lack records written
 * while it was down, which quorums tolerate.
 */
public final class QuorumMembership {
    private static final Logger LOG = LoggerFactory.getLogger(QuorumMembership.class);
    private static final String INITIAL_SYNC_MARKER = "joined";

    private final LedgerView.Member self;
    private final Path folder;
    private final CurrentView views;
    private volatile boolean initialSyncDone;
    private volatile long syncedVersion;

    /** Reads the marker in {@code folder}. */
    public QuorumMembership(LedgerView.Member self, Path folder, CurrentView views) {
        this.self = self;
        this.folder = folder;
        this.views = views;
        this.initialSyncDone = Files.exists(folder.resolve(INITIAL_SYNC_MARKER));
    }

    /** This storage node. */
    public LedgerView.Member self() {
        return self;
    }

    /** Whether it answers quorum calls under the current view. */
    public boolean voting() {
        return initialSyncDone && views.current().contains(self);
    }

    /** Whether its disk has at some time held all acknowledged records. */
    public boolean initialSyncDone() {
        return initialSyncDone;
    }

    /** The status that it reports to other storage nodes. */
    public StorageNodeStatus status() {
        return new StorageNodeStatus(views.current(), voting(), syncedVersion);
    }

    /** Version of the view under which its last complete sync ran; 0 before the first. */
    public long syncedVersion() {
        return syncedVersion;
    }

    /**
     * Records that this storage node has fetched the records of the other members of view {@code
     * version} and has them on disk.
     */
    public synchronized void markSynced(long version) {
        if (!initialSyncDone) {
            createMarker();
            initialSyncDone = true;
        }
        syncedVersion = Math.max(syncedVersion, version);
        LOG.atInfo().addKeyValue("event", "keeper_synced").addKeyValue("view", version).log();
    }

    /**
     * Records that this storage node, not a member yet, has fetched the records of the members of
     * view {@code version}.
     */
    public void markPrefetched(long version) {
        syncedVersion = Math.max(syncedVersion, version);
        LOG.atInfo().addKeyValue("event", "keeper_prefetched").addKeyValue("view", version).log();
    }

    private void createMarker() {
        Path marker = folder.resolve(INITIAL_SYNC_MARKER);
        try (FileChannel channel =
                FileChannel.open(marker, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            channel.force(true);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot create or sync marker file " + marker, e);
        }
    }
}
