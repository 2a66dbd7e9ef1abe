package org.skylarkmast.core.program;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.skylarkmast.core.config.Budget;
import org.skylarkmast.core.journal.AppendOutcome;

/** Reserves the worst-case tokens of calls from committed grants. Not thread-safe. */
final class BudgetReserver {

    /** Retry delay while the key-value service cannot record grants. */
    private static final long STORE_DOWN_RETRY_MS = 2_000;

    /** Retry delay while other calls of the program have reserved the rest of its budget. */
    private static final long RESERVED_RETRY_MS = 1_000;

    private final PartitionContext context;
    private final Consumer<Call> onReserved;
    private final BiConsumer<Call, Refusal> onRefused;

    /**
     * @param onReserved receives each call whose worst case is reserved
     * @param onRefused receives each call for which nothing could be reserved
     */
    BudgetReserver(
            PartitionContext context,
            Consumer<Call> onReserved,
            BiConsumer<Call, Refusal> onRefused) {
        this.context = context;
        this.onReserved = onReserved;
        this.onRefused = onRefused;
    }

    /** Reserves the call's worst case, at once or after another grant is committed. */
    void reserveOrWait(Call call) {
        ProgramTree tree = call.agent.tree;
        if (tree.awaitingGrant.isEmpty() && tree.budget.covers(worstCaseTokens(call))) {
            reserve(call);
            return;
        }
        call.phase = Call.Phase.AWAITING_GRANT;
        tree.awaitingGrant.add(call);
        if (tree.pendingGrants == 0) {
            requestGrant(tree);
        }
    }

    /** Maximum number of tokens the call may use. */
    static long worstCaseTokens(Call call) {
        return (long) call.maxPromptTokens + call.maxOutputTokens;
    }

    private void reserve(Call call) {
        call.reservedTokens = worstCaseTokens(call);
        call.agent.tree.budget.reserve(call.reservedTokens);
        onReserved.accept(call);
    }

    private void requestGrant(ProgramTree tree) {
        if (context.journalDegraded) {
            refuseUnrecordable(tree);
            return;
        }
        Budget budget = budget(tree);
        long needed = tree.awaitingGrant.stream().mapToLong(BudgetReserver::worstCaseTokens).sum();
        long tokens = tree.budget.requestGrant(needed, budget.grantTokens(), budget.tokens());
        if (tokens == 0) {
            refuseUncovered(tree);
            return;
        }
        tree.pendingGrants++;
        context.append(
                new JournalRecord.GrantTaken(tree.root, tokens),
                outcome -> onGrantOutcome(tree, tokens, outcome));
    }

    private void onGrantOutcome(ProgramTree tree, long tokens, AppendOutcome outcome) {
        switch (outcome) {
            case AppendOutcome.Committed ignored -> {
                tree.pendingGrants--;
                tree.budget.grantCommitted(tokens);
                reserveForWaiting(tree);
            }
            // Only committed grants may be used: copies could be lost with the nodes that hold
            // them.
            case AppendOutcome.Copied ignored -> refuseUnrecordable(tree);
            case AppendOutcome.Fenced ignored -> tree.pendingGrants--;
        }
    }

    private void reserveForWaiting(ProgramTree tree) {
        List<Call> waiting = new ArrayList<>(tree.awaitingGrant);
        tree.awaitingGrant.clear();
        for (Call call : waiting) {
            if (tree.awaitingGrant.isEmpty() && tree.budget.covers(worstCaseTokens(call))) {
                reserve(call);
            } else {
                tree.awaitingGrant.add(call);
            }
        }
        if (!tree.awaitingGrant.isEmpty() && tree.pendingGrants == 0) {
            requestGrant(tree);
        }
    }

    private void refuseUncovered(ProgramTree tree) {
        boolean hasReservations =
                tree.budget.remainingTokens(Long.MAX_VALUE)
                        < Long.MAX_VALUE - tree.budget.spentTokens();
        refuseAll(
                tree,
                new Refusal(
                        Refusal.Kind.BUDGET_SPENT,
                        "the budget does not cover this call",
                        Execution.NOT_RUN,
                        hasReservations ? RESERVED_RETRY_MS : 0));
    }

    private void refuseUnrecordable(ProgramTree tree) {
        refuseAll(
                tree,
                new Refusal(
                        Refusal.Kind.STORE_DOWN,
                        "the budget grant cannot be recorded now",
                        Execution.NOT_RUN,
                        STORE_DOWN_RETRY_MS));
    }

    private void refuseAll(ProgramTree tree, Refusal refusal) {
        List<Call> waiting = new ArrayList<>(tree.awaitingGrant);
        tree.awaitingGrant.clear();
        waiting.forEach(call -> onRefused.accept(call, refusal));
    }

    private Budget budget(ProgramTree tree) {
        return context.template(tree.template)
                .map(template -> RequestChecks.budgetOf(template, context.configuration))
                .orElseGet(() -> new Budget("", 0, 0, 1));
    }
}
