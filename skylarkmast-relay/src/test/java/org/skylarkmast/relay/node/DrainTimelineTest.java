package org.skylarkmast.relay.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DrainTimelineTest {
    private long nowNs = -TimeUnit.SECONDS.toNanos(1);

    private DrainTimeline timeline(long graceMs) {
        return new DrainTimeline(graceMs, () -> nowNs);
    }

    private void advance(long ms) {
        nowNs += TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void admitsEveryRequestBeforeShutdown() {
        DrainTimeline timeline = timeline(8000);
        advance(60_000);
        assertThat(timeline.hasStarted()).isFalse();
        assertThat(timeline.isAccepting()).isTrue();
        assertThat(timeline.isServing()).isTrue();
        assertThat(timeline.hasEnded()).isFalse();
        assertThat(timeline.admits(Long.MAX_VALUE / 2)).isTrue();
    }

    /** A second signal must not prolong the shutdown. */
    @Test
    void startsOnce() {
        DrainTimeline timeline = timeline(8000);
        timeline.start();
        advance(3000);
        timeline.start();
        assertThat(timeline.elapsedMs()).isEqualTo(3000);
    }

    @ParameterizedTest(name = "grace {0} ms, after {1} ms")
    @CsvSource({
        "8000, 0, true, true, false",
        "8000, 2499, true, true, false",
        "8000, 2500, false, true, false",
        "8000, 6665, false, true, false",
        "8000, 6666, false, false, false",
        "8000, 6765, false, false, false",
        "8000, 6766, false, false, true",
        "1200, 999, true, true, false",
        "1200, 1000, false, false, false",
        "1200, 1100, false, false, true",
    })
    void acceptsUntilLoadBalancerHasNoticed(
            long graceMs, long elapsedMs, boolean accepting, boolean serving, boolean ended) {
        DrainTimeline timeline = timeline(graceMs);
        timeline.start();
        advance(elapsedMs);
        assertThat(timeline.isAccepting()).isEqualTo(accepting);
        assertThat(timeline.isServing()).isEqualTo(serving);
        assertThat(timeline.hasEnded()).isEqualTo(ended);
    }

    @ParameterizedTest(name = "{0} ms after the start, limit {1} ms")
    @CsvSource({
        "0, 4000, true",
        "0, 60000, true",
        "2499, 60000, true",
        "2500, 4000, true",
        "2500, 4116, true",
        "2500, 4117, false",
        "3500, 4000, false",
        "3500, 3000, true",
        "6600, 20, false",
        "6700, 1, false",
    })
    void admitsRequestsThatEndInTime(long elapsedMs, long limitMs, boolean admitted) {
        DrainTimeline timeline = timeline(8000);
        timeline.start();
        advance(elapsedMs);
        assertThat(timeline.admits(limitMs)).isEqualTo(admitted);
    }
}
