package org.skylarkmast.core.program;

import java.util.List;
import java.util.Optional;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.journal.ReplayedPartition;
import org.skylarkmast.core.key.ProgramKey;

/**
 * State machine of all programs of one partition, run by the node that owns the partition.
 *
 * <p>Calls of one program run in order of arrival. A call's final event is emitted once its end is
 * recorded. A service call is sent only after its intent is recorded, and one that another
 * incarnation may have sent is never sent again.
 *
 * <p>Not thread-safe: owned by one event loop.
 */
public final class PartitionStateMachine {
    private static final long RETRY_AFTER_MS = 200;

    private final PartitionContext context;
    private final CallLifecycle lifecycle;
    private final RequestAdmission admission;
    private final ProgramTermination termination;
    private boolean grantsReturned;

    /**
     * Takes over a partition from its journal.
     *
     * @param firstCallId first id of this machine's calls; ids of two machines must not overlap
     */
    public PartitionStateMachine(
            int partition,
            long epoch,
            ReplayedPartition replayed,
            Configuration configuration,
            long firstCallId,
            long nowNs) {
        PartitionState state = PartitionState.replay(replayed, nowNs);
        this.context = new PartitionContext(partition, epoch, state, configuration, firstCallId);
        this.lifecycle = new CallLifecycle(context);
        this.termination = new ProgramTermination(context);
        this.admission = new RequestAdmission(context, lifecycle, termination);
    }

    /** Handles {@code event} and returns the actions to carry out, in order. */
    public List<ProgramAction> on(ProgramEvent event, long nowNs) {
        context.nowNs = nowNs;
        switch (event) {
            case ProgramEvent.Requested e -> admission.onRequested(e.waiterId(), e.request());
            case ProgramEvent.WaiterDisconnected e -> onWaiterDisconnected(e.waiterId());
            case ProgramEvent.Appended e -> onAppended(e.ticket(), e.outcome());
            case ProgramEvent.Dispatched e -> lifecycle.onDispatched(e);
            case ProgramEvent.CallRefused e -> lifecycle.onCallRefused(e);
            case ProgramEvent.CallAbandoned e -> lifecycle.onCallAbandoned(e);
            case ProgramEvent.AttemptFailed e -> lifecycle.onAttemptFailed(e);
            case ProgramEvent.TokenArrived e -> lifecycle.answerHandler().onTokenArrived(e);
            case ProgramEvent.ModelFinished e -> lifecycle.answerHandler().onModelFinished(e);
            case ProgramEvent.ServiceFinished e ->
                    lifecycle
                            .answerHandler()
                            .onServiceFinished(e.callId(), e.status(), e.contentType(), e.body());
            case ProgramEvent.LookupCompleted e -> lifecycle.answerHandler().onLookupCompleted(e);
            case ProgramEvent.ConfigurationChanged e -> context.configuration = e.configuration();
            case ProgramEvent.JournalDegraded e -> context.journalDegraded = e.degraded();
            case ProgramEvent.EpochChanged e -> onEpochChanged(e.epoch());
            case ProgramEvent.OwnershipLost ignored -> onOwnershipLost();
            case ProgramEvent.HandOverBegun ignored -> beginHandOver();
            case ProgramEvent.Tick ignored -> onTick();
        }
        if (context.handingOver && context.calls.isEmpty() && !grantsReturned) {
            grantsReturned = true;
            returnGrants();
        }
        return context.takeActions();
    }

    /** Whether the hand-over can be written: no call is outstanding, every record is committed. */
    public boolean isReadyForHandOver() {
        return context.handingOver && context.calls.isEmpty() && !context.hasPendingRecords();
    }

    /** The partition's snapshot, from which a new owner's replay rebuilds this state. */
    public List<byte[]> snapshot() {
        return context.state.snapshot();
    }

    /**
     * Whether every record is committed, so that a snapshot contains exactly the committed records
     * and no change that is only copied to other nodes or still being appended.
     */
    public boolean isFullyCommitted() {
        return !context.hasPendingRecords();
    }

    /** Whether the program is live; engines may free what they hold for programs that are not. */
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

    /** The program's state and history as a caller reads them; empty if it is not live. */
    public Optional<CallerEvent.ProgramRead> read(ProgramKey program) {
        return context.state.agent(program).map(AgentState::read);
    }

    private void onAppended(long ticket, AppendOutcome outcome) {
        context.onAppended(ticket, outcome);
    }

    private void onWaiterDisconnected(long waiterId) {
        Call call = context.callByWaiter.remove(waiterId);
        if (call == null) {
            return;
        }
        call.waiters.remove(waiterId);
        boolean notDispatched =
                switch (call.phase) {
                    case QUEUED, AWAITING_GRANT, SUBMITTED -> !call.mayHaveRun;
                    case AWAITING_INTENT, SENT, LOOKING_UP, RECORDING -> false;
                };
        if (call.waiters.isEmpty() && notDispatched) {
            if (call.phase == Call.Phase.SUBMITTED) {
                context.addAction(new ProgramAction.Withdraw(call.id));
            }
            lifecycle.completion().refuse(call, Refusal.Kind.CONFLICT, "the caller left", 0);
        }
    }

    private void onEpochChanged(long epoch) {
        context.epoch = epoch;
        context.handingOver = false;
        grantsReturned = false;
    }

    private void beginHandOver() {
        context.handingOver = true;
        for (Call call : List.copyOf(context.calls.values())) {
            if (call.phase == Call.Phase.QUEUED) {
                lifecycle.completion().refuse(call, ownerMovedRefusal(Execution.NOT_RUN));
            }
        }
    }

    /**
     * Refuses all calls. This node records and sends nothing any more, so a call that was not sent
     * never will be.
     */
    private void onOwnershipLost() {
        context.ownershipLost = true;
        for (Call call : List.copyOf(context.calls.values())) {
            boolean sent =
                    switch (call.phase) {
                        case QUEUED, AWAITING_GRANT, SUBMITTED, AWAITING_INTENT -> call.mayHaveRun;
                        case SENT, LOOKING_UP, RECORDING -> true;
                    };
            context.addAction(new ProgramAction.Withdraw(call.id));
            CallerEvent event =
                    new CallerEvent.Refused(
                            context.withProvableExecution(
                                    call.request,
                                    ownerMovedRefusal(
                                            sent ? Execution.UNKNOWN : Execution.NOT_RUN)));
            call.waiters.forEach(waiter -> context.emit(waiter, event));
        }
        context.calls.clear();
        context.callByWaiter.clear();
    }

    private static Refusal ownerMovedRefusal(Execution execution) {
        return new Refusal(
                Refusal.Kind.OWNER_MOVED,
                "the program moves to another owner",
                execution,
                RETRY_AFTER_MS);
    }

    private void returnGrants() {
        for (ProgramTree tree : context.state.trees.values()) {
            if (tree.budget.canReturnGrants()) {
                tree.budget.returnGrants();
                context.append(
                        new JournalRecord.GrantReturned(tree.root, tree.budget.spentTokens()),
                        ignored -> {});
            }
        }
    }

    private void onTick() {
        if (context.ownershipLost) {
            return;
        }
        for (Call call : List.copyOf(context.calls.values())) {
            boolean waits =
                    call.phase == Call.Phase.QUEUED || call.phase == Call.Phase.AWAITING_GRANT;
            if (waits && context.nowNs >= call.deadlineNs) {
                lifecycle
                        .completion()
                        .refuse(
                                call,
                                Refusal.Kind.TIMED_OUT,
                                "earlier calls of the program took too long",
                                RETRY_AFTER_MS);
            }
        }
        if (!context.handingOver) {
            termination.expireIdle();
        }
    }
}
