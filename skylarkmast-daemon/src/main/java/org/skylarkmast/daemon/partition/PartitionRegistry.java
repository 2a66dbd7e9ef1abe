package org.skylarkmast.daemon.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.journal.Journal;
import org.skylarkmast.core.journal.ReplayedPartition;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.OwnershipListener;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.CallerRequest;
import org.skylarkmast.core.program.PartitionStateMachine;
import org.skylarkmast.core.program.ProgramEvent;
import org.skylarkmast.core.program.ProgramSummary;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The partitions that this node owns. Thread-safe. */
public final class PartitionRegistry implements OwnershipListener {
    private static final Logger LOG = LoggerFactory.getLogger(PartitionRegistry.class);

    /**
     * A call id holds the partition from this bit up, then the number of its acquisition, then a
     * counter.
     */
    private static final int PARTITION_SHIFT = 48;

    private static final int ACQUISITION_SHIFT = 28;
    private static final long ACQUISITION_MASK = (1L << (PARTITION_SHIFT - ACQUISITION_SHIFT)) - 1;

    private final List<Executor> loops;
    private final Journal journal;
    private final PartitionCallHandler calls;
    private final WaiterTable waiters;
    private final LongSupplier clockNs;
    private final AtomicReference<Configuration> configuration;
    private final Map<Integer, PartitionRuntime> owned = new ConcurrentHashMap<>();
    private long acquisitionCount;

    /**
     * @param loops single-threaded executors; each partition is assigned to one of them
     */
    public PartitionRegistry(
            List<Executor> loops,
            Journal journal,
            PartitionCallHandler calls,
            WaiterTable waiters,
            LongSupplier clockNs,
            Configuration configuration) {
        this.loops = List.copyOf(loops);
        this.journal = journal;
        this.calls = calls;
        this.waiters = waiters;
        this.clockNs = clockNs;
        this.configuration = new AtomicReference<>(configuration);
    }

    @Override
    public void acquired(int partition, long epoch, ReplayedPartition replay) {
        long firstCallId;
        synchronized (this) {
            acquisitionCount++;
            firstCallId =
                    ((long) partition << PARTITION_SHIFT)
                            | ((acquisitionCount & ACQUISITION_MASK) << ACQUISITION_SHIFT);
        }
        PartitionStateMachine machine =
                new PartitionStateMachine(
                        partition,
                        epoch,
                        replay,
                        configuration.get(),
                        firstCallId,
                        clockNs.getAsLong());
        PartitionRuntime runtime =
                new PartitionRuntime(
                        partition,
                        machine,
                        loops.get(partition % loops.size()),
                        journal.scopedTo(partition, epoch),
                        calls,
                        waiters,
                        clockNs);
        machine.agents().forEach(calls::adopt);
        owned.put(partition, runtime);
        runtime.post(new ProgramEvent.ConfigurationChanged(configuration.get()));
        LOG.atDebug()
                .addKeyValue("event", "partition_opened")
                .addKeyValue("partition", partition)
                .addKeyValue("epoch", epoch)
                .addKeyValue("records", replay.records().size())
                .log();
    }

    @Override
    public void reacquired(int partition, long epoch) {
        PartitionRuntime runtime = owned.get(partition);
        if (runtime != null) {
            runtime.post(new ProgramEvent.EpochChanged(epoch));
        }
    }

    @Override
    public void lost(int partition) {
        PartitionRuntime runtime = owned.remove(partition);
        if (runtime != null) {
            runtime.post(new ProgramEvent.OwnershipLost());
        }
    }

    @Override
    public void release(int partition, Runnable whenQuiesced) {
        PartitionRuntime runtime = owned.get(partition);
        if (runtime == null) {
            whenQuiesced.run();
        } else {
            runtime.handOver(whenQuiesced);
        }
    }

    /**
     * Passes a request to its partition.
     *
     * @return the id of the waiter, or empty if this node does not own the partition
     */
    public Optional<Long> request(CallerRequest request, Consumer<CallerEvent> waiter) {
        PartitionRuntime runtime = owned.get(request.program().partition());
        if (runtime == null) {
            return Optional.empty();
        }
        long waiterId = waiters.add(waiter);
        runtime.post(new ProgramEvent.Requested(waiterId, request));
        return Optional.of(waiterId);
    }

    /** Called when the caller that a waiter belongs to has disconnected. */
    public void onWaiterDisconnected(int partition, long waiterId) {
        waiters.remove(waiterId);
        PartitionRuntime runtime = owned.get(partition);
        if (runtime != null) {
            runtime.post(new ProgramEvent.WaiterDisconnected(waiterId));
        }
    }

    /** Passes an event about a call to the partition of the call, if it is owned here. */
    public void post(long callId, ProgramEvent event) {
        PartitionRuntime runtime = owned.get((int) (callId >>> PARTITION_SHIFT));
        if (runtime != null) {
            runtime.post(event);
        }
    }

    /** Passes an event to every owned partition. */
    public void postAll(ProgramEvent event) {
        owned.values().forEach(runtime -> runtime.post(event));
    }

    /** Called when a new configuration takes effect. */
    public void onConfigurationChanged(Configuration changed) {
        configuration.set(changed);
        postAll(new ProgramEvent.ConfigurationChanged(changed));
    }

    /** The partitions currently owned. */
    public List<Integer> ownedPartitions() {
        return new ArrayList<>(owned.keySet());
    }

    /** Whether a program is live; empty if its partition is not owned here. */
    public Optional<CompletableFuture<Boolean>> isLive(ProgramKey program) {
        return Optional.ofNullable(owned.get(program.partition()))
                .map(runtime -> runtime.query(machine -> machine.isLive(program)));
    }

    /**
     * The live root programs of all owned partitions; completed when every partition has answered.
     */
    public CompletableFuture<List<ProgramSummary>> programs() {
        List<CompletableFuture<List<ProgramSummary>>> summaries =
                owned.values().stream()
                        .map(runtime -> runtime.query(PartitionStateMachine::programs))
                        .toList();
        return CompletableFuture.allOf(summaries.toArray(new CompletableFuture<?>[0]))
                .thenApply(
                        ignored ->
                                summaries.stream()
                                        .flatMap(summary -> summary.join().stream())
                                        .toList());
    }

    /** The histories of a root program; empty if its partition is not owned here. */
    public Optional<CompletableFuture<List<CallerEvent.ProgramRead>>> histories(ProgramKey root) {
        return Optional.ofNullable(owned.get(root.partition()))
                .map(runtime -> runtime.query(machine -> machine.histories(root)));
    }
}
