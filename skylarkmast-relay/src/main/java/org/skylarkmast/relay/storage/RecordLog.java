package org.skylarkmast.relay.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An append-only log in segment files, with group commit.
 *
 * <p>Each entry carries its length and checksum. An entry that a power loss left torn ends the
 * segment; everything acknowledged lies before it. A start opens a new segment. Appends come from
 * any thread and are written by one.
 */
public final class RecordLog implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RecordLog.class);

    private static final String SUFFIX = ".log";
    private static final int HEADER_BYTES = 8;
    private static final int MAX_ENTRY_BYTES = 64 << 20;

    /** Size at which a segment is closed, so that expired ones can be removed. */
    private static final long SEGMENT_BYTES = 8 << 20;

    private static final int MAX_BATCH = 256;

    /** Pause after a failed write, in which a busy disk may recover. */
    private static final long FAILURE_PAUSE_MS = 50;

    private final Path folder;
    private final LinkedBlockingQueue<Pending> queue = new LinkedBlockingQueue<>();
    private final ConcurrentSkipListMap<Long, Segment> segments = new ConcurrentSkipListMap<>();
    private final Thread writer;
    private long nextSegment;
    private Segment open;

    /** Where an entry lies. */
    public record Location(long segment, long offset, int length) {}

    /** Takes an entry that was found at the start. */
    @FunctionalInterface
    public interface Replay {

        /** Takes the entry {@code bytes} that lies at {@code location}. */
        void entry(Location location, byte[] bytes);
    }

    private static final class Segment {
        final Path file;
        final FileChannel channel;
        volatile long latestExpiryMs;
        long size;

        Segment(Path file, FileChannel channel) {
            this.file = file;
            this.channel = channel;
        }
    }

    @SuppressWarnings("ArrayRecordComponent") // entries are opaque and never compared
    private record Pending(
            byte[] bytes, boolean durable, long expiresAtMs, CompletableFuture<Location> done) {}

    /**
     * Opens the log and replays what it holds.
     *
     * @throws IOException if the folder cannot be read or written
     */
    public RecordLog(Path folder, Replay replay) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        List<Long> found = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            files.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(SUFFIX))
                    .forEach(name -> found.add(number(name)));
        }
        found.sort(null);
        for (long number : found) {
            replaySegment(number, replay);
            nextSegment = number + 1;
        }
        writer = Thread.ofPlatform().name("record-log").daemon().start(this::run);
    }

    /**
     * Appends an entry.
     *
     * @param durable whether the result waits until the entry is on disk
     * @param expiresAtMs when it is of no use any longer, Unix time
     * @return completes with its place, or exceptionally if it could not be written
     */
    public CompletableFuture<Location> append(byte[] bytes, boolean durable, long expiresAtMs) {
        CompletableFuture<Location> done = new CompletableFuture<>();
        queue.add(new Pending(bytes, durable, expiresAtMs, done));
        return done;
    }

    /**
     * Reads the entry at {@code location}.
     *
     * @throws IOException if it cannot be read or its checksum is wrong
     */
    public byte[] read(Location location) throws IOException {
        Segment segment = segments.get(location.segment());
        if (segment == null) {
            throw new IOException("segment " + location.segment() + " is gone");
        }
        byte[] bytes = readEntry(segment.channel, location.offset());
        if (bytes == null || bytes.length != location.length()) {
            throw new IOException("entry at " + location + " is corrupt");
        }
        return bytes;
    }

    /** Notes until when entries replayed from a segment are needed. */
    void keepUntil(long segment, long expiresAtMs) {
        Segment kept = segments.get(segment);
        if (kept != null) {
            kept.latestExpiryMs = Math.max(kept.latestExpiryMs, expiresAtMs);
        }
    }

    /** Removes closed segments whose entries have all expired. */
    void trim(long nowMs) {
        for (Map.Entry<Long, Segment> entry : segments.entrySet()) {
            Segment segment = entry.getValue();
            if (segment != open && segment.latestExpiryMs < nowMs) {
                segments.remove(entry.getKey());
                try {
                    segment.channel.close();
                    Files.deleteIfExists(segment.file);
                } catch (IOException e) {
                    LOG.atWarn()
                            .addKeyValue("event", "segment_not_removed")
                            .addKeyValue("file", segment.file)
                            .setCause(e)
                            .log();
                }
            }
        }
    }

    @Override
    public void close() {
        writer.interrupt();
    }

    private void run() {
        List<Pending> batch = new ArrayList<>();
        while (!Thread.currentThread().isInterrupted()) {
            try {
                batch.add(queue.take());
                queue.drainTo(batch, MAX_BATCH - 1);
                write(batch);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            batch.clear();
        }
    }

    private void write(List<Pending> batch) throws InterruptedException {
        List<Location> places = new ArrayList<>(batch.size());
        try {
            if (open == null || open.size > SEGMENT_BYTES) {
                open = create();
            }
            ByteBuffer bytes = join(batch, places);
            long at = open.size;
            while (bytes.hasRemaining()) {
                at += open.channel.write(bytes, at);
            }
            open.size = at;
            if (batch.stream().anyMatch(Pending::durable)) {
                open.channel.force(false);
            }
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("event", "log_write_failed")
                    .addKeyValue("entries", batch.size())
                    .setCause(e)
                    .log();
            // What was written is in doubt, so nothing more is appended after it.
            open = null;
            batch.forEach(pending -> pending.done().completeExceptionally(e));
            Thread.sleep(FAILURE_PAUSE_MS);
            return;
        }
        for (int i = 0; i < batch.size(); i++) {
            batch.get(i).done().complete(places.get(i));
        }
    }

    private ByteBuffer join(List<Pending> batch, List<Location> places) {
        int total = 0;
        for (Pending pending : batch) {
            total += HEADER_BYTES + pending.bytes().length;
        }
        ByteBuffer joined = ByteBuffer.allocate(total);
        for (Pending pending : batch) {
            places.add(
                    new Location(
                            number(open.file.getFileName().toString()),
                            open.size + joined.position(),
                            pending.bytes().length));
            open.latestExpiryMs = Math.max(open.latestExpiryMs, pending.expiresAtMs());
            joined.putInt(pending.bytes().length);
            joined.putInt(checksum(pending.bytes()));
            joined.put(pending.bytes());
        }
        return joined.flip();
    }

    private Segment create() throws IOException {
        long number = nextSegment++;
        Path file = folder.resolve(String.format("%016x%s", number, SUFFIX));
        FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        Segment segment = new Segment(file, channel);
        segment.size = channel.size();
        segments.put(number, segment);
        return segment;
    }

    private void replaySegment(long number, Replay replay) throws IOException {
        Path file = folder.resolve(String.format("%016x%s", number, SUFFIX));
        FileChannel channel = FileChannel.open(file, StandardOpenOption.READ);
        Segment segment = new Segment(file, channel);
        segments.put(number, segment);
        long offset = 0;
        int entries = 0;
        for (byte[] bytes = readEntry(channel, offset);
                bytes != null;
                bytes = readEntry(channel, offset)) {
            replay.entry(new Location(number, offset, bytes.length), bytes);
            offset += HEADER_BYTES + bytes.length;
            entries++;
        }
        segment.size = offset;
        LOG.atInfo()
                .addKeyValue("event", "segment_replayed")
                .addKeyValue("segment", number)
                .addKeyValue("entries", entries)
                .addKeyValue("bytes", offset)
                .addKeyValue("unusedBytes", channel.size() - offset)
                .log();
    }

    /** Reads the entry at {@code offset}; null if none is whole there. */
    private static byte[] readEntry(FileChannel channel, long offset) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        if (!readFully(channel, header, offset)) {
            return null;
        }
        int length = header.getInt(0);
        if (length <= 0
                || length > MAX_ENTRY_BYTES
                || offset + HEADER_BYTES + length > channel.size()) {
            return null;
        }
        ByteBuffer body = ByteBuffer.allocate(length);
        if (!readFully(channel, body, offset + HEADER_BYTES)) {
            return null;
        }
        return checksum(body.array()) == header.getInt(4) ? body.array() : null;
    }

    private static boolean readFully(FileChannel channel, ByteBuffer into, long offset)
            throws IOException {
        long at = offset;
        while (into.hasRemaining()) {
            int count = channel.read(into, at);
            if (count < 0) {
                return false;
            }
            at += count;
        }
        return true;
    }

    private static int checksum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        return (int) sum.getValue();
    }

    private static long number(String fileName) {
        try {
            return Long.parseLong(fileName.substring(0, fileName.length() - SUFFIX.length()), 16);
        } catch (NumberFormatException e) {
            throw new UncheckedIOException(new IOException("foreign file " + fileName, e));
        }
    }
}
