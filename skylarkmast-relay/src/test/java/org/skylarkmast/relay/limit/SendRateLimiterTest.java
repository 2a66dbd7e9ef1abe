package org.skylarkmast.relay.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the limiter on a virtual clock. */
class SendRateLimiterTest {
    private static final int BURST_REQUESTS = 2;
    private static final double WINDOW_MS = 4000;
    private static final double END_MS = 120_000;

    private long nowMs;

    private SendRateLimiter limiter() {
        return new SendRateLimiter(
                () -> TimeUnit.MILLISECONDS.toNanos(nowMs), BURST_REQUESTS, () -> 0);
    }

    static Stream<Arguments> loads() {
        List<Arguments> loads = new ArrayList<>();
        for (long seed : new long[] {11, 23, 37}) {
            for (double limit : new double[] {0.25, 0.5, 1.7, 9.4, 120}) {
                for (double demand : new double[] {0.5, 1, 3, 20}) {
                    loads.add(Arguments.of(seed, limit, demand));
                }
            }
        }
        return loads.stream();
    }

    /** The limit, without the half again that the users allow, in every window of 4 s. */
    @ParameterizedTest(name = "seed {0}, limit {1}/s, demand {2} times the limit")
    @MethodSource("loads")
    void grantsNoMoreThanTheLimitInAnyWindow(long seed, double limit, double demand) {
        Random random = new Random(seed);
        SendRateLimiter limiter = limiter();
        List<Double> sendsMs = new ArrayList<>();
        double meanGapMs = 1000 / limit / demand;
        for (double atMs = 0;
                atMs < END_MS;
                atMs += -Math.log(1 - random.nextDouble()) * meanGapMs) {
            nowMs = (long) atMs;
            long maxWaitMs = random.nextInt(300);
            if (limiter.decide(new SendRequest("r", limit, maxWaitMs))
                    instanceof SendGrant.Granted granted) {
                assertThat(granted.waitMs()).isAtMost(maxWaitMs);
                sendsMs.add((double) (nowMs + granted.waitMs()));
            }
        }
        double allowed = limit * WINDOW_MS / 1000 + BURST_REQUESTS + 1;
        sendsMs.sort(null);
        for (int from = 0, to = 0; from < sendsMs.size(); from++) {
            while (to < sendsMs.size() && sendsMs.get(to) < sendsMs.get(from) + WINDOW_MS) {
                to++;
            }
            assertThat((double) to - from).isAtMost(allowed);
        }
        if (demand >= 3) {
            assertThat((double) sendsMs.size()).isAtLeast(0.9 * limit * END_MS / 1000);
        }
    }

    @Test
    void deniedRequestDoesNotDelayLaterOnes() {
        SendRateLimiter limiter = limiter();
        while (limiter.decide(new SendRequest("r", 1, 0)) instanceof SendGrant.Granted) {}
        SendGrant denied = limiter.decide(new SendRequest("r", 1, 0));
        assertThat(limiter.decide(new SendRequest("r", 1, 0))).isEqualTo(denied);
    }

    @Test
    void limitsOfRunnersAreIndependent() {
        SendRateLimiter limiter = limiter();
        while (limiter.decide(new SendRequest("r", 1, 0)) instanceof SendGrant.Granted) {}
        assertThat(limiter.decide(new SendRequest("r2", 1, 0)))
                .isInstanceOf(SendGrant.Granted.class);
    }

    @Test
    void raisedLimitAppliesAtOnce() {
        SendRateLimiter limiter = limiter();
        while (limiter.decide(new SendRequest("r", 1, 0)) instanceof SendGrant.Granted) {}
        int granted = 0;
        for (int i = 0; i < 20; i++, nowMs += 10) {
            if (limiter.decide(new SendRequest("r", 100, 0)) instanceof SendGrant.Granted) {
                granted++;
            }
        }
        assertThat(granted).isAtLeast(18);
    }
}
