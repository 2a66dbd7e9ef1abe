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

/** What the parts of a {@link PartitionMachine} share. Not thread-safe. */
final class PartitionContext {
    final int partition;
    final PartitionState state;
    final Map<Long, Call> calls = new HashMap<>();
    final Map<Long, Call> callByWaiter = new HashMap<>();

    Configuration configuration;
    long epoch;
    long nowNs;
    boolean degraded;
    boolean lost;
    boolean handingOver;

    private final Map<Long, Consumer<AppendOutcome>> tickets = new HashMap<>();
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

    void act(ProgramAction action) {
        actions.add(action);
    }

    List<ProgramAction> takeActions() {
        List<ProgramAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    /** Appends a record; {@code outcome} is told of each stage. */
    void append(JournalRecord record, Consumer<AppendOutcome> outcome) {
        long ticket = nextTicket++;
        tickets.put(ticket, outcome);
        act(new ProgramAction.Append(ticket, record));
    }

    void appended(long ticket, AppendOutcome outcome) {
        Consumer<AppendOutcome> told =
                outcome instanceof AppendOutcome.Copied
                        ? tickets.get(ticket)
                        : tickets.remove(ticket);
        if (told != null) {
            told.accept(outcome);
        }
    }

    boolean recordsPending() {
        return !tickets.isEmpty();
    }

    long newCallId() {
        return nextCallId++;
    }

    void emit(long waiterId, CallerEvent event) {
        act(new ProgramAction.Emit(waiterId, event));
    }

    /** Refuses a request that got no call of its own. */
    void refuse(long waiterId, CallerRequest request, Refusal refusal) {
        emit(waiterId, new CallerEvent.Refused(honest(request, refusal)));
    }

    /**
     * The refusal without a claim that cannot be kept: a former owner may have sent a model call
     * with the same key, as such calls leave no record before they are sent.
     */
    Refusal honest(CallerRequest request, Refusal refusal) {
        ProgramTree tree = state.trees.get(request.program().root());
        boolean unsure =
                tree != null
                        && tree.inheritedOpenCalls
                        && request.operation() instanceof Operation.ModelTurn
                        && refusal.execution() == Execution.NOT_RUN;
        return unsure
                ? new Refusal(
                        refusal.kind(), refusal.detail(), Execution.UNKNOWN, refusal.retryAfterMs())
                : refusal;
    }

    Optional<ProgramTemplate> template(String name) {
        return Optional.ofNullable(configuration.programs().get(name));
    }

    /** What to tell beside a call's answer. */
    TurnSummary summary(Call call, int promptTokens, int cachedTokens, int outputTokens) {
        ProgramTree tree = call.agent.tree;
        long budgetTokens =
                template(tree.template)
                        .map(template -> RequestChecks.budget(template, configuration).tokens())
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
                tree.budget.leftTokens(budgetTokens),
                false);
    }
}
