package org.skylarkmast.core.scheduling.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryBudgetTest {

    @ParameterizedTest(name = "{0} first sends allow {1} retries")
    @CsvSource({"0, 2", "5, 3", "10, 4", "100, 22"})
    void allowsAShareOfFirstSends(int firstSends, int expectedRetries) {
        RetryBudget budget = new RetryBudget(0.2, 1_000);
        while (budget.tryTake()) {
            // Empties the balance that it starts with.
        }
        for (int i = 0; i < firstSends + 10; i++) {
            budget.earn();
        }
        int retries = 0;
        while (budget.tryTake()) {
            retries++;
        }

        assertThat(Math.abs(retries - expectedRetries)).isAtMost(1);
    }
}
