package org.skylarkmast.relay.storage;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RecordLogTest {
    private static final long NO_EXPIRY_MS = Long.MAX_VALUE;

    @TempDir private Path folder;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private List<String> replay() throws IOException {
        List<String> found = new ArrayList<>();
        try (RecordLog _ =
                new RecordLog(
                        folder,
                        DiskSync.FILE_DATA,
                        (location, entry) ->
                                found.add(new String(entry, StandardCharsets.UTF_8)))) {
            return found;
        }
    }

    private void write(String... entries) throws Exception {
        try (RecordLog log = new RecordLog(folder, DiskSync.FILE_DATA, (location, entry) -> {})) {
            for (String entry : entries) {
                log.append(bytes(entry), true, NO_EXPIRY_MS).get();
            }
        }
    }

    private Path onlySegment() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.toList().getFirst();
        }
    }

    @Test
    void replaysEntriesOfSeveralStarts() throws Exception {
        write("a", "b");
        write("c");
        assertThat(replay()).containsExactly("a", "b", "c").inOrder();
    }

    @Test
    void readsBackByLocation() throws Exception {
        try (RecordLog log = new RecordLog(folder, DiskSync.FILE_DATA, (location, entry) -> {})) {
            var _ = log.append(bytes("first"), false, NO_EXPIRY_MS);
            RecordLog.Location second = log.append(bytes("second"), true, NO_EXPIRY_MS).get();
            assertThat(new String(log.read(second), StandardCharsets.UTF_8)).isEqualTo("second");
        }
    }

    /**
     * A power loss may truncate or corrupt the unsynced tail of a segment at any byte. The entries
     * before it must be replayed.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void replaysEntriesBeforeATornTail(long seed) throws Exception {
        Random random = new Random(seed);
        write("synced one", "synced two");
        long syncedBytes = Files.size(onlySegment());
        byte[] syncedContent = Files.readAllBytes(onlySegment());
        Files.delete(onlySegment());
        write("synced one", "synced two", "torn entry that is longer", "another one");
        byte[] content = Files.readAllBytes(onlySegment());
        int end = (int) syncedBytes + random.nextInt(content.length - (int) syncedBytes);
        byte[] tornContent = java.util.Arrays.copyOf(content, end);
        for (int i = (int) syncedBytes; i < end; i++) {
            if (random.nextInt(4) == 0) {
                tornContent[i] = (byte) random.nextInt();
            }
        }
        Files.write(onlySegment(), tornContent);
        assertThat(syncedContent.length).isEqualTo((int) syncedBytes);
        List<String> found = replay();
        assertThat(found.subList(0, 2)).containsExactly("synced one", "synced two").inOrder();
        assertThat(List.of("torn entry that is longer", "another one"))
                .containsAtLeastElementsIn(found.subList(2, found.size()));
    }

    @Test
    void appendsToANewSegmentAfterATornTail() throws Exception {
        write("kept", "torn");
        byte[] all = Files.readAllBytes(onlySegment());
        Files.write(onlySegment(), java.util.Arrays.copyOf(all, all.length - 1));
        write("after");
        assertThat(replay()).containsExactly("kept", "after").inOrder();
    }

    @Test
    void removesSegmentsWhoseEntriesExpired() throws Exception {
        try (RecordLog log = new RecordLog(folder, DiskSync.FILE_DATA, (location, entry) -> {})) {
            log.append(bytes("old"), true, 10).get();
        }
        try (RecordLog log = new RecordLog(folder, DiskSync.FILE_DATA, (location, entry) -> {})) {
            log.retainUntil(0, 10);
            log.removeExpiredSegments(11, Set.of());
        }
        assertThat(replay()).isEmpty();
    }

    @Test
    void closedLogWritesNoMoreFiles() throws Exception {
        for (int i = 0; i < 50; i++) {
            Path closedFolder = folder.resolve("log-" + i);
            RecordLog log =
                    new RecordLog(closedFolder, DiskSync.FILE_DATA, (location, entry) -> {});
            CompletableFuture<RecordLog.Location> appended =
                    log.append(bytes("entry"), false, NO_EXPIRY_MS);
            log.close();
            assertThat(appended.isDone()).isTrue();
            assertThat(log.append(bytes("late"), false, NO_EXPIRY_MS).isCompletedExceptionally())
                    .isTrue();
        }
    }
}
