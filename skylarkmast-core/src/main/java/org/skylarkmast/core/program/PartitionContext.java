package org.skylarkmast.core.program;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.ProgramTemplate;
import org.skylarkmast.core.journal.AppendOutcome;

/** State shared by the components of a {@link PartitionStateMachine}. Not thread-safe. */
final class PartitionContext {
    final int partition;
    final PartitionState state;
    final Map<Long, Call> calls = new HashMap<>();
    final Map<Long, Call> callByWaiter = new HashMap<>();

    Configuration configuration;
    long epoch;
    long nowNs;
    boolean journalDegraded;
    boolean ownershipLost;
    boolean handingOver;

    private final Map<Long, Consumer<AppendOutcome>> pendingAppends = new HashMap<>();
    private List<ProgramAction> actions = new ArrayList<>();
    private long nextTicket = 1;
    private long nextCallId;

    PartitionContext(
            int partition,
            long epoch,
            PartitionState state,
            Configuration configuration,
            long firstCallId) {
        this.partition = partition;
        this.epoch = epoch;
        this.state = state;
        this.configuration = configuration;
        this.nextCallId = firstCallId;
    }

    void addAction(ProgramAction action) {
        actions.add(action);
    }

    List<ProgramAction> takeActions() {
        List<ProgramAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    /** Appends a record; {@code listener} receives each of its outcomes. */
    void append(JournalRecord record, Consumer<AppendOutcome> listener) {
        long ticket = nextTicket++;
        pendingAppends.put(ticket, listener);
        addAction(new ProgramAction.Append(ticket, record));
    }

    void onAppended(long ticket, AppendOutcome outcome) {
        Consumer<AppendOutcome> listener =
                outcome instanceof AppendOutcome.Copied
                        ? pendingAppends.get(ticket)
                        : pendingAppends.remove(ticket);
        if (listener != null) {
            listener.accept(outcome);
        }
    }

    boolean hasPendingRecords() {
        return !pendingAppends.isEmpty();
    }

    long newCallId() {
        return nextCallId++;
    }

    void emit(long waiterId, CallerEvent event) {
        addAction(new ProgramAction.Emit(waiterId, event));
    }

    /** Refuses a request for which no {@link Call} was created. */
    void refuse(long waiterId, CallerRequest request, Refusal refusal) {
        emit(waiterId, new CallerEvent.Refused(withProvableExecution(request, refusal)));
    }

    /**
     * Replaces {@link Execution#NOT_RUN} by {@link Execution#UNKNOWN} where it cannot be proved: a
     * former owner may have sent a model call with the same key, as model calls leave no record
     * before they are sent.
     */
    Refusal withProvableExecution(CallerRequest request, Refusal refusal) {
        ProgramTree tree = state.trees.get(request.program().root());
        boolean mayHaveRunUnrecorded =
                tree != null
                        && tree.inheritedOpenCalls
                        && request.operation() instanceof Operation.ModelTurn
                        && refusal.execution() == Execution.NOT_RUN;
        return mayHaveRunUnrecorded
                ? new Refusal(
                        refusal.kind(), refusal.detail(), Execution.UNKNOWN, refusal.retryAfterMs())
                : refusal;
    }

    Optional<ProgramTemplate> template(String name) {
        return Optional.ofNullable(configuration.programs().get(name));
    }

    /** The summary that accompanies a call's answer. */
    TurnSummary summary(Call call, int promptTokens, int cachedTokens, int outputTokens) {
        ProgramTree tree = call.agent.tree;
        long budgetTokens =
                template(tree.template)
                        .map(template -> RequestChecks.budgetOf(template, configuration).tokens())
                        .orElse(0L);
        String model =
                call.request.operation() instanceof Operation.ModelTurn turn ? turn.model() : "";
        return new TurnSummary(
                call.agent.key,
                model,
                tree.turns + 1,
                partition,
                epoch,
                promptTokens,
                cachedTokens,
                promptTokens - cachedTokens,
                outputTokens,
                tree.budget.remainingTokens(budgetTokens),
                false);
    }
}
