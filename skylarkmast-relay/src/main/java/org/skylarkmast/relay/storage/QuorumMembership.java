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
 * Whether this storage node takes part in quorums; thread-safe.
 *
 * <p>A storage node whose disk is new first fetches what the others hold; a marker on the disk then
 * says that it never has to again. A storage node with the marker may lack what was written while
 * it was away, which quorums allow for.
 */
public final class QuorumMembership {
    private static final Logger LOG = LoggerFactory.getLogger(QuorumMembership.class);
    private static final String MARKER = "joined";

    private final LedgerView.Member self;
    private final Path folder;
    private final CurrentView views;
    private volatile boolean complete;
    private volatile long syncedVersion;

    /** Reads the marker in {@code folder}. */
    public QuorumMembership(LedgerView.Member self, Path folder, CurrentView views) {
        this.self = self;
        this.folder = folder;
        this.views = views;
        this.complete = Files.exists(folder.resolve(MARKER));
    }

    /** This storage node. */
    public LedgerView.Member self() {
        return self;
    }

    /** Whether it answers quorum calls under the view in force. */
    public boolean voting() {
        return complete && views.current().contains(self);
    }

    /** Whether its disk ever held all that was acknowledged. */
    public boolean complete() {
        return complete;
    }

    /** Its state for other storage nodes. */
    public StorageNodeStatus status() {
        return new StorageNodeStatus(views.current(), voting(), syncedVersion);
    }

    /** View version under which it last fetched all that others hold. */
    public long syncedVersion() {
        return syncedVersion;
    }

    /** Notes that all that others hold under {@code version} was fetched and is on disk. */
    public synchronized void synced(long version) {
        if (!complete) {
            writeMarker();
            complete = true;
        }
        syncedVersion = Math.max(syncedVersion, version);
        LOG.atInfo().addKeyValue("event", "keeper_synced").addKeyValue("view", version).log();
    }

    /** Notes that this storage node, not a member yet, fetched what the members of a view hold. */
    public void prefetched(long version) {
        syncedVersion = Math.max(syncedVersion, version);
        LOG.atInfo().addKeyValue("event", "keeper_prefetched").addKeyValue("view", version).log();
    }

    private void writeMarker() {
        Path marker = folder.resolve(MARKER);
        try (FileChannel channel =
                FileChannel.open(marker, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            channel.force(true);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write " + marker, e);
        }
    }
}
