package org.skylarkmast.core.scheduling.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryBudgetTest {

    @ParameterizedTest(name = "{0} first attempts allow {1} retries")
    @CsvSource({"0, 2", "5, 3", "10, 4", "100, 22"})
    void limitsRetriesToAFractionOfFirstAttempts(int firstAttempts, int expectedRetries) {
        RetryBudget budget = new RetryBudget(0.2, 1_000);
        while (budget.tryWithdraw()) {
            // Uses up the initial balance.
        }
        for (int i = 0; i < firstAttempts + 10; i++) {
            budget.deposit();
        }
        int retries = 0;
        while (budget.tryWithdraw()) {
            retries++;
        }

        assertThat(Math.abs(retries - expectedRetries)).isAtMost(1);
    }
}
