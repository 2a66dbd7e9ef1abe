package org.skylarkmast.relay.storage;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.ledger.Usage;

/** Records and reservations on a storage node whose clock is set while it runs. */
class SteadyTimeOfDayTest {
    private static final long RETENTION_MS = 60_000;
    private static final long REMAINING_MS = 3000;

    @TempDir private Path folder;
    private long wallMs = 1_700_000_000_000L;
    private long elapsedMs;

    @ParameterizedTest(name = "by {0} ms")
    @ValueSource(longs = {-3_600_000, -2400, 0, 2400, 8001, 3_600_000})
    void clockThatIsSetEndsNoReservationAndNoRetention(long jumpMs) throws Exception {
        SteadyTimeOfDay clock =
                new SteadyTimeOfDay(
                        () -> wallMs + elapsedMs, () -> TimeUnit.MILLISECONDS.toNanos(elapsedMs));
        try (RecordIndex index = new RecordIndex(folder, clock, DiskSync.FILE_DATA)) {
            index.putTurn(new TurnRecord("t", "", new byte[0], new byte[0], RETENTION_MS)).get();
            index.putUsage(
                            new RecordIndex.ProgramUsage(
                                    "p", new Usage("a", 10, false), RETENTION_MS, REMAINING_MS),
                            true)
                    .get();
            wallMs += jumpMs;
            elapsedMs += REMAINING_MS;
            index.expire();
            assertThat(index.endedAttempts("p")).isEmpty();
            assertThat(index.turn("t")).isNotNull();
            elapsedMs += REMAINING_MS + RETENTION_MS * 2;
            assertThat(index.endedAttempts("p")).containsExactly("a");
            index.expire();
            assertThat(index.turnCount()).isEqualTo(0);
        }
    }
}
