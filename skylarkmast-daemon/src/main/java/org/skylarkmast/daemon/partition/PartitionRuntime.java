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
 * Runs one partition's state machine on its event loop and carries its actions out.
 *
 * <p>Methods may be called from any thread; the machine is touched on {@code loop} only.
 */
public final class PartitionRuntime {

    /** Records after which the journal of the partition is replaced by a snapshot. */
    private static final int RECORDS_PER_SNAPSHOT = 500;

    private final int partition;
    private final PartitionStateMachine machine;
    private final Executor loop;
    private final Journal journal;
    private final PartitionCalls calls;
    private final WaiterTable waiters;
    private final LongSupplier clockNs;

    private int recordsSinceSnapshot;
    private long lastCommittedSequence;
    private boolean snapshotUnderWay;
    private Runnable whenQuiet;

    PartitionRuntime(
            int partition,
            PartitionStateMachine machine,
            Executor loop,
            Journal journal,
            PartitionCalls calls,
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

    /** The partition's number. */
    public int partition() {
        return partition;
    }

    /** Hands an event to the machine. */
    public void post(ProgramEvent event) {
        loop.execute(() -> handle(event));
    }

    /** Answers a question about the machine, which is put to it on its loop. */
    <T> CompletableFuture<T> ask(Function<PartitionStateMachine, T> question) {
        return CompletableFuture.supplyAsync(() -> question.apply(machine), loop);
    }

    /** Begins a hand-over; {@code quiet} runs once nothing of the partition is under way. */
    void handOver(Runnable quiet) {
        loop.execute(
                () -> {
                    whenQuiet = quiet;
                    handle(new ProgramEvent.HandOverBegun());
                });
    }

    private void handle(ProgramEvent event) {
        for (ProgramAction action : machine.on(event, clockNs.getAsLong())) {
            carryOut(action);
        }
        if (whenQuiet != null && machine.isReadyForHandOver()) {
            Runnable quiet = whenQuiet;
            whenQuiet = null;
            quiet.run();
        }
        snapshotIfDue();
    }

    private void carryOut(ProgramAction action) {
        switch (action) {
            case ProgramAction.Append append ->
                    journal.append(
                            partition,
                            JsonUtil.toBytes(append.record()),
                            outcome -> loop.execute(() -> appended(append.ticket(), outcome)));
            case ProgramAction.Submit submit -> calls.submit(submit.call(), submit.traceParent());
            case ProgramAction.Withdraw withdraw -> calls.withdraw(withdraw.callId());
            case ProgramAction.SendModel send -> calls.sendModel(this, send);
            case ProgramAction.SendService send -> calls.sendService(this, send);
            case ProgramAction.LookUp lookUp -> calls.lookUp(this, lookUp);
            case ProgramAction.Emit emit -> waiters.emit(emit.waiterId(), emit.event());
            case ProgramAction.ReleaseProgram release -> calls.release(release);
        }
    }

    private void appended(long ticket, AppendOutcome outcome) {
        if (outcome instanceof AppendOutcome.Committed committed) {
            recordsSinceSnapshot++;
            lastCommittedSequence = committed.sequence();
        }
        handle(new ProgramEvent.Appended(ticket, outcome));
    }

    private void snapshotIfDue() {
        if (snapshotUnderWay
                || recordsSinceSnapshot < RECORDS_PER_SNAPSHOT
                || !machine.isFullyCommitted()) {
            return;
        }
        snapshotUnderWay = true;
        recordsSinceSnapshot = 0;
        List<byte[]> chunks = machine.snapshot();
        journal.snapshot(
                partition,
                lastCommittedSequence,
                chunks,
                done -> loop.execute(() -> snapshotUnderWay = false));
    }
}
