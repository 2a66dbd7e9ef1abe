package org.skylarkmast.relay.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
 * <p>Each entry is stored with its length and checksum. Replay of a segment stops at the first
 * entry that is torn, as a power loss leaves it; all acknowledged entries lie before it. Each start
 * opens a new segment. Thread-safe; one thread writes the appends of all callers.
 */
public final class RecordLog implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RecordLog.class);

    private static final String SUFFIX = ".log";
    private static final int HEADER_BYTES = 8;
    private static final int MAX_ENTRY_BYTES = 64 << 20;

    /** Size at which a segment is closed; expired entries are removed by whole closed segments. */
    private static final long SEGMENT_BYTES = 8 << 20;

    private static final int MAX_BATCH_ENTRIES = 256;

    /** Pause after a failed write, so that an overloaded disk can recover. */
    private static final long WRITE_FAILURE_PAUSE_MS = 50;

    /** Time for a close to write what was appended; a write and its sync take milliseconds. */
    private static final long CLOSE_TIMEOUT_MS = 2000;

    /** Ends the writer once it has written all entries before it. */
    private static final PendingAppend END =
            new PendingAppend(new byte[0], false, 0, new CompletableFuture<>());

    private final Path folder;
    private final DiskSync diskSync;
    private final LinkedBlockingQueue<PendingAppend> queue = new LinkedBlockingQueue<>();
    private final ConcurrentSkipListMap<Long, Segment> segments = new ConcurrentSkipListMap<>();
    private final Thread writer;
    private volatile boolean closed;
    private long nextSegment;
    private Segment activeSegment;

    /** The location of an entry in the log. */
    public record Location(long segment, long offset, int length) {}

    /** Receives the entries that the log holds when it is opened. */
    @FunctionalInterface
    public interface ReplayHandler {

        /** Called for the entry {@code bytes} at {@code location}, in the order of appending. */
        void onEntry(Location location, byte[] bytes);
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
    private record PendingAppend(
            byte[] bytes, boolean durable, long expiresAtMs, CompletableFuture<Location> result) {}

    /**
     * Opens the log and replays its entries.
     *
     * @param diskSync called after each write of entries that must be durable
     * @throws IOException if the folder cannot be read or written
     */
    public RecordLog(Path folder, DiskSync diskSync, ReplayHandler replayHandler)
            throws IOException {
        this.folder = folder;
        this.diskSync = diskSync;
        Files.createDirectories(folder);
        List<Long> segmentNumbers = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            files.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(SUFFIX))
                    .forEach(name -> segmentNumbers.add(segmentNumber(name)));
        }
        segmentNumbers.sort(null);
        for (long segmentNumber : segmentNumbers) {
            replaySegment(segmentNumber, replayHandler);
            nextSegment = segmentNumber + 1;
        }
        writer = Thread.ofPlatform().name("record-log").daemon().start(this::run);
    }

    /**
     * Appends an entry.
     *
     * @param durable whether the result completes only once the entry is on disk
     * @param expiresAtMs time after which the entry may be removed, in Unix time
     * @return completes with its location, or exceptionally if it could not be written
     */
    public CompletableFuture<Location> append(byte[] bytes, boolean durable, long expiresAtMs) {
        CompletableFuture<Location> result = new CompletableFuture<>();
        queue.add(new PendingAppend(bytes, durable, expiresAtMs, result));
        if (closed && !writer.isAlive()) {
            failQueued();
        }
        return result;
    }

    /**
     * Reads the entry at {@code location}.
     *
     * @throws IOException if the segment was removed, the entry cannot be read, or its length or
     *     checksum is wrong
     */
    public byte[] read(Location location) throws IOException {
        Segment segment = segments.get(location.segment());
        if (segment == null) {
            throw new IOException(
                    "segment " + location.segment() + " was removed or never existed");
        }
        byte[] bytes = readEntry(segment.channel, location.offset());
        if (bytes == null || bytes.length != location.length()) {
            throw new IOException("entry at " + location + ": wrong length or checksum");
        }
        return bytes;
    }

    /** Retains a replayed segment at least until {@code expiresAtMs}. */
    void retainUntil(long segment, long expiresAtMs) {
        Segment retained = segments.get(segment);
        if (retained != null) {
            retained.latestExpiryMs = Math.max(retained.latestExpiryMs, expiresAtMs);
        }
    }

    /**
     * Removes closed segments whose entries have all expired.
     *
     * @param used segments to keep in any case
     */
    void removeExpiredSegments(long nowMs, Set<Long> used) {
        for (Map.Entry<Long, Segment> entry : segments.entrySet()) {
            Segment segment = entry.getValue();
            if (segment != activeSegment
                    && segment.latestExpiryMs < nowMs
                    && !used.contains(entry.getKey())) {
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

    /** Writes the entries appended before, and ends the writer; later appends fail. */
    @Override
    public void close() {
        closed = true;
        queue.add(END);
        try {
            if (!writer.join(Duration.ofMillis(CLOSE_TIMEOUT_MS))) {
                LOG.atWarn().addKeyValue("event", "log_writer_interrupted").log();
                writer.interrupt();
                writer.join(Duration.ofMillis(CLOSE_TIMEOUT_MS));
            }
        } catch (InterruptedException e) {
            writer.interrupt();
            Thread.currentThread().interrupt();
        }
        failQueued();
    }

    private void failQueued() {
        for (PendingAppend left = queue.poll(); left != null; left = queue.poll()) {
            left.result().completeExceptionally(new IOException("the log is closed"));
        }
    }

    private void run() {
        List<PendingAppend> batch = new ArrayList<>();
        boolean ended = false;
        while (!ended && !Thread.currentThread().isInterrupted()) {
            try {
                batch.add(queue.take());
                queue.drainTo(batch, MAX_BATCH_ENTRIES - 1);
                ended = batch.remove(END);
                if (!batch.isEmpty()) {
                    write(batch);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            batch.clear();
        }
    }

    private void write(List<PendingAppend> batch) throws InterruptedException {
        List<Location> locations = new ArrayList<>(batch.size());
        try {
            if (activeSegment == null || activeSegment.size > SEGMENT_BYTES) {
                activeSegment = createSegment();
            }
            ByteBuffer bytes = encode(batch, locations);
            long position = activeSegment.size;
            while (bytes.hasRemaining()) {
                position += activeSegment.channel.write(bytes, position);
            }
            activeSegment.size = position;
            if (batch.stream().anyMatch(PendingAppend::durable)) {
                diskSync.sync(activeSegment.channel);
            }
        } catch (IOException | OutOfMemoryError e) {
            LOG.atWarn()
                    .addKeyValue("event", "log_write_failed")
                    .addKeyValue("entries", batch.size())
                    .setCause(e)
                    .log();
            // It is unknown how much was written, so later entries go to a new segment.
            activeSegment = null;
            batch.forEach(pending -> pending.result().completeExceptionally(e));
            Thread.sleep(WRITE_FAILURE_PAUSE_MS);
            return;
        }
        for (int i = 0; i < batch.size(); i++) {
            batch.get(i).result().complete(locations.get(i));
        }
    }

    private ByteBuffer encode(List<PendingAppend> batch, List<Location> locations) {
        int total = 0;
        for (PendingAppend pending : batch) {
            total += HEADER_BYTES + pending.bytes().length;
        }
        ByteBuffer encoded = ByteBuffer.allocate(total);
        for (PendingAppend pending : batch) {
            locations.add(
                    new Location(
                            segmentNumber(activeSegment.file.getFileName().toString()),
                            activeSegment.size + encoded.position(),
                            pending.bytes().length));
            activeSegment.latestExpiryMs =
                    Math.max(activeSegment.latestExpiryMs, pending.expiresAtMs());
            encoded.putInt(pending.bytes().length);
            encoded.putInt(checksum(pending.bytes()));
            encoded.put(pending.bytes());
        }
        return encoded.flip();
    }

    private Segment createSegment() throws IOException {
        long segmentNumber = nextSegment++;
        Path file = folder.resolve(String.format("%016x%s", segmentNumber, SUFFIX));
        FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        Segment segment = new Segment(file, channel);
        segment.size = channel.size();
        segments.put(segmentNumber, segment);
        return segment;
    }

    private void replaySegment(long segmentNumber, ReplayHandler replayHandler) throws IOException {
        Path file = folder.resolve(String.format("%016x%s", segmentNumber, SUFFIX));
        FileChannel channel = FileChannel.open(file, StandardOpenOption.READ);
        Segment segment = new Segment(file, channel);
        segments.put(segmentNumber, segment);
        long offset = 0;
        int entries = 0;
        for (byte[] bytes = readEntry(channel, offset);
                bytes != null;
                bytes = readEntry(channel, offset)) {
            replayHandler.onEntry(new Location(segmentNumber, offset, bytes.length), bytes);
            offset += HEADER_BYTES + bytes.length;
            entries++;
        }
        segment.size = offset;
        LOG.atInfo()
                .addKeyValue("event", "segment_replayed")
                .addKeyValue("segment", segmentNumber)
                .addKeyValue("entries", entries)
                .addKeyValue("bytes", offset)
                .addKeyValue("unusedBytes", channel.size() - offset)
                .log();
    }

    /** Reads the entry at {@code offset}; null if there is no intact entry. */
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

    private static boolean readFully(FileChannel channel, ByteBuffer buffer, long offset)
            throws IOException {
        long position = offset;
        while (buffer.hasRemaining()) {
            int count = channel.read(buffer, position);
            if (count < 0) {
                return false;
            }
            position += count;
        }
        return true;
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    private static long segmentNumber(String fileName) {
        try {
            return Long.parseLong(fileName.substring(0, fileName.length() - SUFFIX.length()), 16);
        } catch (NumberFormatException e) {
            throw new UncheckedIOException(
                    new IOException(
                            "file name is not a hexadecimal segment number: " + fileName, e));
        }
    }
}
