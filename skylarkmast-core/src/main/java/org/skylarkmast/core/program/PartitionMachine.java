package org.skylarkmast.core.program;

import java.util.List;
import java.util.Optional;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.journal.ReplayedPartition;
import org.skylarkmast.core.key.ProgramKey;

/**
 * Decides about all programs of one partition, for the node that owns it.
 *
 * <p>Calls of one program run in the order in which they came. A call's final event is emitted once
 * its end is recorded. A service call is sent only after its intent is recorded, and one whose
 * sender may have been another incarnation is never sent again.
 *
 * <p>Not thread-safe: owned by one event loop.
 */
public final class PartitionMachine {
    private static final long MOVED_RETRY_MS = 200;

    private final PartitionContext context;
    private final CallProgress progress;
    private final RequestIntake intake;
    private final ProgramEnding ending;
    private boolean grantsReturned;

    /**
     * Takes over a partition from its journal.
     *
     * @param firstCallId ids of this machine's calls count from here; must not overlap with others'
     */
    public PartitionMachine(
            int partition,
            long epoch,
            ReplayedPartition replayed,
            Configuration configuration,
            long firstCallId,
            long nowNs) {
        PartitionState state = PartitionState.replay(replayed, nowNs);
        this.context = new PartitionContext(partition, epoch, state, configuration, firstCallId);
        this.progress = new CallProgress(context);
        this.ending = new ProgramEnding(context);
        this.intake = new RequestIntake(context, progress, ending);
    }

    /** Decides on {@code event}; the actions are to be carried out in order. */
    public List<ProgramAction> on(ProgramEvent event, long nowNs) {
        context.nowNs = nowNs;
        switch (event) {
            case ProgramEvent.Requested e -> intake.requested(e.waiterId(), e.request());
            case ProgramEvent.WaiterGone e -> waiterGone(e.waiterId());
            case ProgramEvent.Appended e -> appended(e.ticket(), e.outcome());
            case ProgramEvent.Dispatched e -> progress.dispatched(e);
            case ProgramEvent.CallRefused e -> progress.refused(e);
            case ProgramEvent.CallGivenUp e -> progress.givenUp(e);
            case ProgramEvent.AttemptFailed e -> progress.attemptFailed(e);
            case ProgramEvent.TokenArrived e -> progress.answers().tokenArrived(e);
            case ProgramEvent.ModelFinished e -> progress.answers().modelFinished(e);
            case ProgramEvent.ServiceFinished e ->
                    progress.answers()
                            .serviceFinished(e.callId(), e.status(), e.contentType(), e.body());
            case ProgramEvent.LookedUp e -> progress.answers().lookedUp(e);
            case ProgramEvent.ConfigurationChanged e -> context.configuration = e.configuration();
            case ProgramEvent.JournalDegraded e -> context.degraded = e.degraded();
            case ProgramEvent.EpochChanged e -> epochChanged(e.epoch());
            case ProgramEvent.OwnershipLost ignored -> lose();
            case ProgramEvent.HandOverBegun ignored -> beginHandOver();
            case ProgramEvent.Tick ignored -> tick();
        }
        if (context.handingOver && context.calls.isEmpty() && !grantsReturned) {
            grantsReturned = true;
            returnGrants();
        }
        return context.takeActions();
    }

    /** Whether a hand-over may be written: no call is under way and every record is committed. */
    public boolean quiet() {
        return context.handingOver && context.calls.isEmpty() && !context.recordsPending();
    }

    /** The partition's snapshot, from which a new owner's replay rebuilds this state. */
    public List<byte[]> snapshot() {
        return context.state.snapshot();
    }

    /**
     * Whether the state holds nothing that is only copied or on its way to the journal, so that a
     * snapshot stands for exactly the committed records.
     */
    public boolean settled() {
        return !context.recordsPending();
    }

    /** Whether the program is live here; engines may drop what they hold for others. */
    public boolean isLive(ProgramKey program) {
        return context.state.agent(program).isPresent();
    }

    /** All live programs and sub-agents. */
    public List<ProgramKey> agents() {
        return context.state.trees.values().stream()
                .flatMap(tree -> tree.agents.keySet().stream())
                .toList();
    }

    /** The live root programs, for operators. */
    public List<ProgramSummary> programs() {
        return context.state.trees.values().stream()
                .map(
                        tree ->
                                new ProgramSummary(
                                        tree.root,
                                        tree.template,
                                        tree.turns,
                                        tree.serviceCalls,
                                        tree.budget.spentTokens(),
                                        tree.budget.grantedTokens(),
                                        context.nowNs - tree.lastActiveNs))
                .toList();
    }

    /** The histories of a root program and of its sub-agents; empty if it is not live. */
    public List<CallerEvent.ProgramRead> histories(ProgramKey root) {
        ProgramTree tree = context.state.trees.get(root);
        return tree == null
                ? List.of()
                : tree.agents.values().stream().map(AgentState::read).toList();
    }

    /** What a caller would read of the program. */
    public Optional<CallerEvent.ProgramRead> read(ProgramKey program) {
        return context.state.agent(program).map(AgentState::read);
    }

    private void appended(long ticket, AppendOutcome outcome) {
        context.appended(ticket, outcome);
    }

    private void waiterGone(long waiterId) {
        Call call = context.callByWaiter.remove(waiterId);
        if (call == null) {
            return;
        }
        call.waiters.remove(waiterId);
        boolean untouched =
                switch (call.phase) {
                    case QUEUED, AWAITING_GRANT, SUBMITTED -> !call.mayHaveRun;
                    case AWAITING_INTENT, SENT, LOOKING_UP, RECORDING -> false;
                };
        if (call.waiters.isEmpty() && untouched) {
            if (call.phase == Call.Phase.SUBMITTED) {
                context.act(new ProgramAction.Withdraw(call.id));
            }
            progress.ends().refuse(call, Refusal.Kind.CONFLICT, "the caller left", 0);
        }
    }

    private void epochChanged(long epoch) {
        context.epoch = epoch;
        context.handingOver = false;
        grantsReturned = false;
    }

    private void beginHandOver() {
        context.handingOver = true;
        for (Call call : List.copyOf(context.calls.values())) {
            if (call.phase == Call.Phase.QUEUED) {
                progress.ends().refuse(call, moved(Execution.NOT_RUN));
            }
        }
    }

    /** Nothing is recorded or sent from here any more, so what was not sent never will be. */
    private void lose() {
        context.lost = true;
        for (Call call : List.copyOf(context.calls.values())) {
            boolean sent =
                    switch (call.phase) {
                        case QUEUED, AWAITING_GRANT, SUBMITTED, AWAITING_INTENT -> call.mayHaveRun;
                        case SENT, LOOKING_UP, RECORDING -> true;
                    };
            context.act(new ProgramAction.Withdraw(call.id));
            CallerEvent event =
                    new CallerEvent.Refused(
                            context.honest(
                                    call.request,
                                    moved(sent ? Execution.UNKNOWN : Execution.NOT_RUN)));
            call.waiters.forEach(waiter -> context.emit(waiter, event));
        }
        context.calls.clear();
        context.callByWaiter.clear();
    }

    private static Refusal moved(Execution execution) {
        return new Refusal(
                Refusal.Kind.OWNER_MOVED,
                "the program moves to another owner",
                execution,
                MOVED_RETRY_MS);
    }

    private void returnGrants() {
        for (ProgramTree tree : context.state.trees.values()) {
            if (tree.budget.returnable()) {
                tree.budget.returnGrants();
                context.append(
                        new JournalRecord.GrantReturned(tree.root, tree.budget.spentTokens()),
                        ignored -> {});
            }
        }
    }

    private void tick() {
        if (context.lost) {
            return;
        }
        for (Call call : List.copyOf(context.calls.values())) {
            boolean waits =
                    call.phase == Call.Phase.QUEUED || call.phase == Call.Phase.AWAITING_GRANT;
            if (waits && context.nowNs >= call.deadlineNs) {
                progress.ends()
                        .refuse(
                                call,
                                Refusal.Kind.TIMED_OUT,
                                "earlier calls of the program took too long",
                                MOVED_RETRY_MS);
            }
        }
        if (!context.handingOver) {
            ending.expireIdle();
        }
    }
}
