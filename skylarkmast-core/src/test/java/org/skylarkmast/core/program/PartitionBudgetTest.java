package org.skylarkmast.core.program;

import static com.google.common.truth.Truth.assertThat;
import static org.skylarkmast.core.program.PartitionFixture.PROGRAM;

import org.junit.jupiter.api.Test;
import org.skylarkmast.core.key.ProgramKey;

/** Budget limits of a program across owners, sub-agents and crashes. */
class PartitionBudgetTest {
    private PartitionFixture fixture = new PartitionFixture();

    @Test
    void neverGrantsMoreThanTheBudgetAcrossOwners() {
        long spent = 0;
        for (int i = 0; i < 20; i++) {
            long waiter = fixture.askModel(PROGRAM, "k" + i, "text", 100);
            if (fixture.finalEvent(waiter) != null) {
                assertThat(fixture.refusal(waiter).kind()).isEqualTo(Refusal.Kind.BUDGET_SPENT);
            } else {
                int output = fixture.last(ProgramAction.Submit.class).call().maxOutputTokens();
                fixture.dispatch();
                spent += 12 + output; // the engine used the worst case, then the owner was killed
            }
            fixture = fixture.takeOver();
        }
        assertThat(spent).isAtMost(PartitionFixture.BUDGET_TOKENS);
        assertThat(fixture.read(PROGRAM).grantedTokens()).isAtMost(PartitionFixture.BUDGET_TOKENS);
    }

    @Test
    void sharesTheBudgetWithSubAgents() {
        fixture.askModel(PROGRAM, "k1", "text", 10);
        fixture.answer("a1", 10, 5);
        long total = 0;
        for (int i = 0; i < 20; i++) {
            long waiter = fixture.askModel(new ProgramKey("cycle", "job-1/c" + i), "k", "t", 100);
            if (fixture.finalEvent(waiter) == null) {
                total += 9 + fixture.last(ProgramAction.Submit.class).call().maxOutputTokens();
            }
        }
        assertThat(total + 15).isAtMost(PartitionFixture.BUDGET_TOKENS);
        assertThat(total).isGreaterThan(PartitionFixture.BUDGET_TOKENS / 2);
    }

    @Test
    void returnsUnusedGrantsAtHandOver() {
        fixture.askModel(PROGRAM, "k1", "text", 10);
        fixture.answer("a1", 10, 5);
        fixture.feed(new ProgramEvent.HandOverBegun());
        assertThat(fixture.machine.isReadyForHandOver()).isTrue();
        assertThat(fixture.takeOver().read(PROGRAM).spentTokens()).isEqualTo(15);
    }

    @Test
    void countsOpenGrantsAsSpentAfterCrash() {
        fixture.askModel(PROGRAM, "k1", "text", 10);
        fixture.answer("a1", 10, 5);
        assertThat(fixture.takeOver().read(PROGRAM).spentTokens())
                .isEqualTo(PartitionFixture.GRANT_TOKENS);
    }
}
