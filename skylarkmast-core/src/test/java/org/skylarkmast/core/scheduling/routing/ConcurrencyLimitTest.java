package org.skylarkmast.core.scheduling.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConcurrencyLimitTest {

    @ParameterizedTest(name = "busy at {0} calls of 20: limit {1}")
    @CsvSource({"20, 14", "10, 7", "1, 1", "0, 1"})
    void dropsBelowTheLoadAtWhichTheRunnerWasBusy(int inFlight, int expected) {
        ConcurrencyLimit limit = new ConcurrencyLimit(20, true);

        limit.onBusy(inFlight);

        assertThat(limit.maxInFlight()).isEqualTo(expected);
    }

    @Test
    void recoversUpToTheDeclaredMaximum() {
        ConcurrencyLimit limit = new ConcurrencyLimit(20, true);
        limit.onBusy(1);
        for (int i = 0; i < 1_000; i++) {
            limit.onSuccess();
        }

        assertThat(limit.maxInFlight()).isEqualTo(20);
    }
}
