package org.skylarkmast.daemon.partition;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.journal.Journal;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.program.PartitionStateMachine;
import org.skylarkmast.core.program.ProgramAction;
import org.skylarkmast.core.program.ProgramEvent;

/**
 * Runs the state machine of one partition on its event loop and performs its actions.
 *
 * <p>Methods may be called from any thread; the state machine is accessed only on {@code loop}.
 */
public final class PartitionRuntime {

    /** Number of committed records after which a snapshot replaces the journal of the partition. */
    private static final int RECORDS_PER_SNAPSHOT = 500;

    private final int partition;
    private final PartitionStateMachine machine;
    private final Executor loop;
    private final Journal journal;
    private final PartitionCallHandler calls;
    private final WaiterTable waiters;
    private final LongSupplier clockNs;

    private int recordsSinceSnapshot;
    private long lastCommittedSequence;
    private boolean snapshotInProgress;
    private Runnable whenQuiesced;

    PartitionRuntime(
            int partition,
            PartitionStateMachine machine,
            Executor loop,
            Journal journal,
            PartitionCallHandler calls,
            WaiterTable waiters,
            LongSupplier clockNs) {
        this.partition = partition;
        this.machine = machine;
        this.loop = loop;
        this.journal = journal;
        this.calls = calls;
        this.waiters = waiters;
        this.clockNs = clockNs;
    }

    /** The number of the partition. */
    public int partition() {
        return partition;
    }

    /** Passes an event to the state machine. */
    public void post(ProgramEvent event) {
        loop.execute(() -> handle(event));
    }

    /** Evaluates {@code query} on the loop of the state machine. */
    <T> CompletableFuture<T> query(Function<PartitionStateMachine, T> query) {
        return CompletableFuture.supplyAsync(() -> query.apply(machine), loop);
    }

    /**
     * Begins a hand-over; {@code quiesced} runs on the loop once the state machine is ready for it.
     */
    void handOver(Runnable quiesced) {
        loop.execute(
                () -> {
                    whenQuiesced = quiesced;
                    handle(new ProgramEvent.HandOverBegun());
                });
    }

    private void handle(ProgramEvent event) {
        for (ProgramAction action : machine.on(event, clockNs.getAsLong())) {
            perform(action);
        }
        if (whenQuiesced != null && machine.isReadyForHandOver()) {
            Runnable quiesced = whenQuiesced;
            whenQuiesced = null;
            quiesced.run();
        }
        snapshotIfDue();
    }

    private void perform(ProgramAction action) {
        switch (action) {
            case ProgramAction.Append append ->
                    journal.append(
                            partition,
                            JsonUtil.toBytes(append.record()),
                            outcome -> loop.execute(() -> onAppended(append.ticket(), outcome)));
            case ProgramAction.Submit submit -> calls.submit(submit.call(), submit.traceParent());
            case ProgramAction.Withdraw withdraw -> calls.withdraw(withdraw.callId());
            case ProgramAction.SendModel send -> calls.sendModel(this, send);
            case ProgramAction.SendService send -> calls.sendService(this, send);
            case ProgramAction.LookUp lookUp -> calls.lookUp(this, lookUp);
            case ProgramAction.Emit emit -> waiters.emit(emit.waiterId(), emit.event());
            case ProgramAction.ReleaseProgram release -> calls.release(release);
        }
    }

    private void onAppended(long ticket, AppendOutcome outcome) {
        if (outcome instanceof AppendOutcome.Committed committed) {
            recordsSinceSnapshot++;
            lastCommittedSequence = committed.sequence();
        }
        handle(new ProgramEvent.Appended(ticket, outcome));
    }

    private void snapshotIfDue() {
        if (snapshotInProgress
                || recordsSinceSnapshot < RECORDS_PER_SNAPSHOT
                || !machine.isFullyCommitted()) {
            return;
        }
        snapshotInProgress = true;
        recordsSinceSnapshot = 0;
        List<byte[]> chunks = machine.snapshot();
        journal.snapshot(
                partition,
                lastCommittedSequence,
                chunks,
                done -> loop.execute(() -> snapshotInProgress = false));
    }
}
