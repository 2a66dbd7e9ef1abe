package org.skylarkmast.relay.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentNavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a storage node keeps on disk beside its records: the newest views that it has received and
 * the version up to which its records are complete. So it refuses the same calls after a restart as
 * before it. Thread-safe.
 *
 * <p>Each view and each version is a file of its own, named after the version: a new file is
 * durable once its own content is, while a rename would need a sync of the folder as well. Older
 * files that reappear after a power loss are ignored. Reads do not wait for the disk.
 */
public final class ViewStore {
    private static final Logger LOG = LoggerFactory.getLogger(ViewStore.class);

    private static final String VIEW_PREFIX = "view-";
    private static final String SYNCED_PREFIX = "synced-";

    /** Tells that an initial sync is done; all that earlier releases keep of a sync. */
    private static final String INITIAL_SYNC_MARKER = "joined";

    private static final int CHECKSUM_BYTES = Integer.BYTES;

    /** The current view, and the one before it, whose members a sync reads. */
    private static final int KEPT_VIEWS = 2;

    private final Path folder;
    private final DiskSync diskSync;
    private final ConcurrentNavigableMap<Long, LedgerView> views = new ConcurrentSkipListMap<>();
    private volatile long syncedVersion;
    private volatile boolean initialSyncDone;

    /**
     * Reads what {@code folder} holds, and creates the folder if it does not exist.
     *
     * @param diskSync called after each write
     * @throws IOException if the folder cannot be read or created
     */
    public ViewStore(Path folder, DiskSync diskSync) throws IOException {
        this.folder = folder;
        this.diskSync = diskSync;
        Files.createDirectories(folder);
        initialSyncDone = Files.exists(folder.resolve(INITIAL_SYNC_MARKER));
        for (long version : versions(SYNCED_PREFIX)) {
            syncedVersion = Math.max(syncedVersion, version);
        }
        for (long version : versions(VIEW_PREFIX)) {
            LedgerView view = readView(file(VIEW_PREFIX, version));
            if (view != null) {
                views.put(version, view);
            }
        }
    }

    /** Returns the newest view, or {@link LedgerView#NONE} if there is none. */
    public LedgerView latest() {
        Map.Entry<Long, LedgerView> latest = views.lastEntry();
        return latest == null ? LedgerView.NONE : latest.getValue();
    }

    /**
     * Returns the view of this version, or null if it is unknown; version 0 is {@link
     * LedgerView#NONE}.
     */
    LedgerView view(long version) {
        return version == 0 ? LedgerView.NONE : views.get(version);
    }

    /** Returns the highest version stored by {@link #storeSyncedVersion}, 0 if none. */
    long syncedVersion() {
        return syncedVersion;
    }

    /**
     * Stores a view unless it is stored already, and removes all but the newest ones.
     *
     * @throws IOException if it could not be written to disk
     */
    public synchronized void storeView(LedgerView view) throws IOException {
        if (views.containsKey(view.version())) {
            return;
        }
        byte[] encoded = LedgerCodec.encode(out -> LedgerCodec.writeView(out, view));
        ByteBuffer content = ByteBuffer.allocate(CHECKSUM_BYTES + encoded.length);
        content.putInt(checksum(encoded)).put(encoded).flip();
        write(file(VIEW_PREFIX, view.version()), content);
        views.put(view.version(), view);
        while (views.size() > KEPT_VIEWS) {
            views.pollFirstEntry();
        }
        removeBefore(VIEW_PREFIX, views.firstKey());
    }

    /**
     * Stores the version of a view under which a sync was completed.
     *
     * @throws IOException if it could not be written to disk
     */
    synchronized void storeSyncedVersion(long version) throws IOException {
        if (version <= syncedVersion) {
            return;
        }
        write(file(SYNCED_PREFIX, version), ByteBuffer.allocate(0));
        syncedVersion = version;
        removeBefore(SYNCED_PREFIX, version);
    }

    /** Returns whether the marker of an initial sync is stored. */
    boolean initialSyncDone() {
        return initialSyncDone;
    }

    /**
     * Stores the marker of an initial sync.
     *
     * @throws IOException if it could not be written to disk
     */
    synchronized void storeInitialSync() throws IOException {
        if (!initialSyncDone) {
            write(folder.resolve(INITIAL_SYNC_MARKER), ByteBuffer.allocate(0));
            initialSyncDone = true;
        }
    }

    private void write(Path file, ByteBuffer content) throws IOException {
        try (FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            while (content.hasRemaining()) {
                channel.write(content);
            }
            diskSync.sync(channel);
        }
    }

    private void removeBefore(String prefix, long firstKept) throws IOException {
        for (long version : versions(prefix).headSet(firstKept)) {
            Files.deleteIfExists(file(prefix, version));
        }
    }

    private NavigableSet<Long> versions(String prefix) throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            files.map(file -> file.getFileName().toString())
                    .filter(name -> name.startsWith(prefix))
                    .forEach(names::add);
        }
        NavigableSet<Long> versions = new TreeSet<>();
        for (String name : names) {
            try {
                versions.add(Long.parseLong(name.substring(prefix.length())));
            } catch (NumberFormatException e) {
                LOG.atWarn()
                        .addKeyValue("event", "view_file_ignored")
                        .addKeyValue("file", name)
                        .addKeyValue("reason", "name does not end with a version")
                        .log();
            }
        }
        return versions;
    }

    /** Reads a view; null if it is torn, as a power loss during its write leaves it. */
    private static LedgerView readView(Path file) throws IOException {
        ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
        if (content.remaining() >= CHECKSUM_BYTES) {
            int expected = content.getInt();
            byte[] encoded = new byte[content.remaining()];
            content.get(encoded);
            if (checksum(encoded) == expected) {
                return LedgerCodec.decode(encoded, LedgerCodec::readView);
            }
        }
        LOG.atWarn()
                .addKeyValue("event", "view_file_ignored")
                .addKeyValue("file", file)
                .addKeyValue("reason", "wrong length or checksum")
                .log();
        return null;
    }

    private Path file(String prefix, long version) {
        return folder.resolve(prefix + version);
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }
}
