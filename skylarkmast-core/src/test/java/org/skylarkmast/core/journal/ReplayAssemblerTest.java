package org.skylarkmast.core.journal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReplayAssemblerTest {

    /**
     * Batches are written as epoch:first-last, copies as epoch:sequence. A copy with the prefix 9/
     * belongs to another partition. Each record contains its sequence as text.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "nothing stored,                     0, '',            '',                     '',    0",
        "batches in order,                   0, 1:1-2 1:3-3,   '',                     123,   3",
        "snapshot covers a whole batch,      2, 1:1-2 1:3-3,   '',                     3,     3",
        "snapshot covers part of a batch,    2, 1:1-4,         '',                     34,    4",
        "copies follow the stored records,   0, 1:1-2,         1:4 1:3,                1234,  4",
        "copies of stored records,           0, 1:1-2,         1:1 1:2 1:3,            123,   3",
        "copies after a gap,                 0, 1:1-2,         1:4,                    12,    2",
        "copies up to a gap,                 0, 1:1-2,         1:3 1:5,                123,   3",
        "copies twice,                       0, 1:1-2,         1:3 1:3 1:4,            1234,  4",
        "copies of a superseded epoch,       0, 1:1-2 2:3-3,   1:3 1:4,                123,   3",
        "copies of the latest epoch only,    0, 1:1-2,         1:3 1:4 2:3,            123,   3",
        "copies after a snapshot,            3, '',            1:4,                    4,     4",
        "copies older than a snapshot,       3, '',            0:4,                    '',    3",
        "copies without a stored record,     0, '',            1:1 1:2,                12,    2",
        "copies of another partition,        0, 1:1-2,         9/1:3,                  12,    2"
    })
    void assemblesStoredRecordsAndCopies(
            String name,
            long through,
            String batches,
            String copies,
            String expected,
            long lastSequence) {
        ReplayAssembler assembler = new ReplayAssembler(3);
        assembler.setHead(
                new SnapshotHead(through == 0 ? 0 : 1, 0, through, through == 0 ? 0 : 1), 5);
        for (String batch : split(batches)) {
            String[] parts = batch.split("[:-]", -1);
            long first = Long.parseLong(parts[1]);
            List<byte[]> records = new ArrayList<>();
            for (long sequence = first; sequence <= Long.parseLong(parts[2]); sequence++) {
                records.add(record(sequence));
            }
            assembler.addBatch(new JournalBatch("w", Long.parseLong(parts[0]), first, records));
        }
        List<CopiedRecord> held = new ArrayList<>();
        for (String copy : split(copies)) {
            int partition = copy.startsWith("9/") ? 9 : 3;
            String[] parts = copy.replace("9/", "").split(":", -1);
            long sequence = Long.parseLong(parts[1]);
            held.add(
                    new CopiedRecord(
                            partition, Long.parseLong(parts[0]), sequence, record(sequence)));
        }
        ReplayedPartition replay = assembler.assemble(held).replay();
        StringBuilder found = new StringBuilder();
        replay.records().forEach(r -> found.append(new String(r, StandardCharsets.UTF_8)));
        assertThat(found.toString()).isEqualTo(expected);
        assertThat(replay.lastSequence()).isEqualTo(lastSequence);
    }

    @Test
    void gapInStoredRecordsIsRejected() {
        ReplayAssembler assembler = new ReplayAssembler(3);
        assembler.addBatch(new JournalBatch("w", 1, 2, List.of(record(2))));
        assertThrows(IllegalStateException.class, () -> assembler.assemble(List.of()));
    }

    @Test
    void chunksOfOtherGenerationsAndSurplusChunksAreIgnored() {
        ReplayAssembler assembler = new ReplayAssembler(3);
        assembler.setHead(new SnapshotHead(2, 1, 4, 1), 5);
        assembler.addChunk(1, 0, record(1));
        assembler.addChunk(2, 0, record(2));
        assembler.addChunk(2, 1, record(3));
        assembler.addChunk(3, 0, record(4));
        List<byte[]> chunks = assembler.assemble(List.of()).replay().snapshotChunks();
        assertThat(chunks).hasSize(1);
        assertThat(chunks.getFirst()).isEqualTo(record(2));
    }

    private static List<String> split(String text) {
        return text.isEmpty() ? List.of() : List.of(text.split(" ", -1));
    }

    private static byte[] record(long sequence) {
        return Long.toString(sequence).getBytes(StandardCharsets.UTF_8);
    }
}
