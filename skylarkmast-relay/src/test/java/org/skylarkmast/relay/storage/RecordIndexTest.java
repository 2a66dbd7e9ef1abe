package org.skylarkmast.relay.storage;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.ledger.Usage;

class RecordIndexTest {
    private static final long RETENTION_MS = 60_000;

    @TempDir private Path folder;
    private final AtomicLong wallClockMs = new AtomicLong();

    private RecordIndex open() throws IOException {
        return new RecordIndex(folder, wallClockMs::get, DiskSync.FILE_DATA);
    }

    private static TurnRecord turn(String id, String previous) {
        byte[] text = id.getBytes(StandardCharsets.UTF_8);
        return new TurnRecord(id, previous, text, text, RETENTION_MS);
    }

    private static List<String> ids(RecordIndex.Chain chain) {
        return chain.turns().stream().map(TurnRecord::id).toList();
    }

    private void expireAt(RecordIndex index, long ms) {
        wallClockMs.set(ms);
        index.expire();
    }

    @ParameterizedTest(name = "{0}, then {1}, then {2}")
    @CsvSource({"t1,t2,t3", "t3,t2,t1", "t2,t3,t1", "t1,t3,t2"})
    void chainIsKeptUntilItsLastTurnExpires(String first, String second, String third)
            throws Exception {
        try (RecordIndex index = open()) {
            for (String id : List.of(first, second, third)) {
                int number = id.charAt(1) - '0';
                wallClockMs.set((number - 1) * 50_000L);
                index.putTurn(turn(id, number == 1 ? "" : "t" + (number - 1))).get();
            }
            expireAt(index, 185_000);
            assertThat(ids(index.chain("t3", Integer.MAX_VALUE)))
                    .containsExactly("t3", "t2", "t1")
                    .inOrder();
            expireAt(index, 190_001);
            assertThat(index.turnCount()).isEqualTo(0);
        }
    }

    @Test
    void chainIsKeptOnDiskOverRestarts() throws Exception {
        try (RecordIndex index = open()) {
            index.putTurn(turn("t1", "")).get();
        }
        wallClockMs.set(80_000);
        try (RecordIndex index = open()) {
            index.putTurn(turn("t2", "t1")).get();
        }
        for (int restart = 0; restart < 2; restart++) {
            try (RecordIndex index = open()) {
                expireAt(index, 160_000);
                assertThat(ids(index.chain("t2", Integer.MAX_VALUE)))
                        .containsExactly("t2", "t1")
                        .inOrder();
            }
        }
    }

    @Test
    void usagesAreKeptOnDiskAsLongAsTheirProgramIsCharged() throws Exception {
        Usage early = new Usage("r1", 40, true);
        Usage late = new Usage("r2", 30, true);
        try (RecordIndex index = open()) {
            index.putUsage(stored(early, RecordIndex.UNKNOWN_TIME), true).get();
        }
        wallClockMs.set(80_000);
        try (RecordIndex index = open()) {
            index.putUsage(stored(late, RecordIndex.UNKNOWN_TIME), true).get();
            expireAt(index, 160_000);
            assertThat(index.usages("program")).containsExactly(early, late);
        }
        try (RecordIndex index = open()) {
            assertThat(index.usages("program")).containsExactly(early, late);
        }
    }

    private static RecordIndex.ProgramUsage stored(Usage usage, long remainingTimeMs) {
        return new RecordIndex.ProgramUsage("program", usage, RETENTION_MS, remainingTimeMs);
    }

    @Test
    void attemptWithoutAFinalCountEndsSomeTimeAfterItsTimeLimit() throws Exception {
        Usage open = new Usage("r1", 40, false);
        try (RecordIndex index = open()) {
            index.putUsage(stored(open, 4000), true).get();
        }
        try (RecordIndex index = open()) {
            wallClockMs.set(5000);
            assertThat(index.endedAttempts("program")).isEmpty();
            wallClockMs.set(9001);
            assertThat(index.endedAttempts("program")).containsExactly("r1");
            index.putUsage(stored(new Usage("r1", 10, true), RecordIndex.UNKNOWN_TIME), true).get();
            assertThat(index.endedAttempts("program")).isEmpty();
        }
    }

    @Test
    void readsUsagesThatThePreviousReleaseWrote() throws Exception {
        Usage open = new Usage("r1", 40, false);
        try (RecordLog log = new RecordLog(folder, DiskSync.FILE_DATA, (location, entry) -> {})) {
            byte[] entry =
                    LedgerCodec.encode(
                            out -> {
                                out.writeByte(2);
                                out.writeLong(RETENTION_MS);
                                out.writeUTF("program");
                                LedgerCodec.writeUsages(out, List.of(open));
                            });
            log.append(entry, true, RETENTION_MS).get();
        }
        try (RecordIndex index = open()) {
            wallClockMs.set(50_000);
            assertThat(index.usages("program")).containsExactly(open);
            assertThat(index.endedAttempts("program")).isEmpty();
        }
    }
}
