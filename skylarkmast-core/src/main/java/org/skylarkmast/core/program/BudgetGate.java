package org.skylarkmast.core.program;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.skylarkmast.core.config.Budget;
import org.skylarkmast.core.journal.AppendOutcome;

/** Lets calls through once committed grants cover their worst case. Not thread-safe. */
final class BudgetGate {

    /** When to ask again while the key-value service takes no grants. */
    private static final long STORE_DOWN_RETRY_MS = 2_000;

    /** When to ask again while other calls of the program hold what is left of its budget. */
    private static final long RESERVED_RETRY_MS = 1_000;

    private final PartitionContext context;
    private final Consumer<Call> passed;
    private final BiConsumer<Call, Refusal> refused;

    /**
     * @param passed told of a call whose worst case is reserved
     * @param refused told of a call that cannot be covered
     */
    BudgetGate(PartitionContext context, Consumer<Call> passed, BiConsumer<Call, Refusal> refused) {
        this.context = context;
        this.passed = passed;
        this.refused = refused;
    }

    /** Reserves the call's worst case, at once or after a grant. */
    void enter(Call call) {
        ProgramTree tree = call.agent.tree;
        if (tree.awaitingGrant.isEmpty() && tree.budget.covers(worstCase(call))) {
            reserve(call);
            return;
        }
        call.phase = Call.Phase.AWAITING_GRANT;
        tree.awaitingGrant.add(call);
        if (tree.pendingGrants == 0) {
            requestGrant(tree);
        }
    }

    /** Tokens the call may use at most. */
    static long worstCase(Call call) {
        return (long) call.promptBoundTokens + call.maxTokens;
    }

    private void reserve(Call call) {
        call.reservedTokens = worstCase(call);
        call.agent.tree.budget.reserve(call.reservedTokens);
        passed.accept(call);
    }

    private void requestGrant(ProgramTree tree) {
        if (context.degraded) {
            refuseWaiting(tree);
            return;
        }
        Budget budget = budget(tree);
        long needed = tree.awaitingGrant.stream().mapToLong(BudgetGate::worstCase).sum();
        long tokens = tree.budget.requestGrant(needed, budget.grantTokens(), budget.tokens());
        if (tokens == 0) {
            refuseUncovered(tree);
            return;
        }
        tree.pendingGrants++;
        context.append(
                new JournalRecord.GrantTaken(tree.root, tokens),
                outcome -> granted(tree, tokens, outcome));
    }

    private void granted(ProgramTree tree, long tokens, AppendOutcome outcome) {
        switch (outcome) {
            case AppendOutcome.Committed ignored -> {
                tree.pendingGrants--;
                tree.budget.grantCommitted(tokens);
                serveWaiting(tree);
            }
            // Only committed grants may be used: copies could be lost with their owners.
            case AppendOutcome.Copied ignored -> refuseWaiting(tree);
            case AppendOutcome.Fenced ignored -> tree.pendingGrants--;
        }
    }

    private void serveWaiting(ProgramTree tree) {
        List<Call> waiting = new ArrayList<>(tree.awaitingGrant);
        tree.awaitingGrant.clear();
        for (Call call : waiting) {
            if (tree.awaitingGrant.isEmpty() && tree.budget.covers(worstCase(call))) {
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
        boolean reserved =
                tree.budget.leftTokens(Long.MAX_VALUE) < Long.MAX_VALUE - tree.budget.spentTokens();
        refuseAll(
                tree,
                new Refusal(
                        Refusal.Kind.BUDGET_SPENT,
                        "the budget does not cover this call",
                        Execution.NOT_RUN,
                        reserved ? RESERVED_RETRY_MS : 0));
    }

    private void refuseWaiting(ProgramTree tree) {
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
        waiting.forEach(call -> refused.accept(call, refusal));
    }

    private Budget budget(ProgramTree tree) {
        return context.template(tree.template)
                .map(template -> RequestChecks.budget(template, context.configuration))
                .orElseGet(() -> new Budget("", 0, 0, 1));
    }
}
