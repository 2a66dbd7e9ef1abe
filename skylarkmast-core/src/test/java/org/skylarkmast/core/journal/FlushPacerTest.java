package org.skylarkmast.core.journal;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FlushPacerTest {
    private static final long MS = 1_000_000L;

    @ParameterizedTest(name = "{0} writes/s, {1} ms each")
    @CsvSource({"20, 2, 200", "100, 2, 1000", "100, 40, 170", "1000, 2, 3400"})
    void busyJournalIsLimitedByItsWriteRateAndByTheServiceLatency(
            double writesPerSecond, long latencyMs, int expectedWrites) {
        FlushPacer pacer = new FlushPacer(writesPerSecond);
        long nowNs = 0;
        int writes = 0;
        while (nowNs < 10_000 * MS) {
            long delayNs = pacer.delayNs(nowNs);
            if (delayNs > 0) {
                nowNs += delayNs;
                continue;
            }
            pacer.writeStarted(nowNs);
            writes++;
            nowNs += latencyMs * MS;
            pacer.writeCompleted(latencyMs * MS, nowNs);
        }
        assertThat(writes).isAtMost(expectedWrites + 5);
        assertThat(writes).isAtLeast(expectedWrites * 9 / 10);
    }

    @Test
    void idleJournalWritesWithoutDelay() {
        FlushPacer pacer = new FlushPacer(10);
        assertThat(pacer.delayNs(0)).isEqualTo(0);
        pacer.writeStarted(0);
        pacer.writeCompleted(2 * MS, 2 * MS);
        assertThat(pacer.delayNs(500 * MS)).isEqualTo(0);
    }

    @Test
    void delayGrowsWhileWritesFailAndIsResetByASuccessfulWrite() {
        FlushPacer pacer = new FlushPacer(1_000);
        assertThat(pacer.delayNs(0)).isEqualTo(0);
        long previousDelayNs = 0;
        for (int failure = 0; failure < 8; failure++) {
            pacer.writeFailed(0);
            long delayNs = pacer.delayNs(0);
            assertThat(delayNs).isAtLeast(previousDelayNs);
            previousDelayNs = delayNs;
        }
        assertThat(previousDelayNs).isEqualTo(1_000 * MS);
        pacer.writeCompleted(2 * MS, 0);
        assertThat(pacer.delayNs(0)).isLessThan(5 * MS);
    }
}
