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

/** The partitions this node owns; thread-safe. */
public final class PartitionRegistry implements OwnershipListener {
    private static final Logger LOG = LoggerFactory.getLogger(PartitionRegistry.class);

    /** Call ids hold the partition above this bit, then which take-over of it, then a count. */
    private static final int PARTITION_SHIFT = 48;

    private static final int TAKEOVER_SHIFT = 28;
    private static final long TAKEOVER_MASK = (1L << (PARTITION_SHIFT - TAKEOVER_SHIFT)) - 1;

    private final List<Executor> loops;
    private final Journal journal;
    private final PartitionCalls calls;
    private final WaiterTable waiters;
    private final LongSupplier clockNs;
    private final AtomicReference<Configuration> configuration;
    private final Map<Integer, PartitionRuntime> owned = new ConcurrentHashMap<>();
    private long takeovers;

    /**
     * @param loops single-threaded executors; each partition stays on one of them
     */
    public PartitionRegistry(
            List<Executor> loops,
            Journal journal,
            PartitionCalls calls,
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
            takeovers++;
            firstCallId =
                    ((long) partition << PARTITION_SHIFT)
                            | ((takeovers & TAKEOVER_MASK) << TAKEOVER_SHIFT);
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
    public void release(int partition, Runnable whenQuiet) {
        PartitionRuntime runtime = owned.get(partition);
        if (runtime == null) {
            whenQuiet.run();
        } else {
            runtime.handOver(whenQuiet);
        }
    }

    /**
     * Gives a request to its partition.
     *
     * @return the waiter's id, or empty if this node does not own the partition
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

    /** The caller behind a waiter left. */
    public void waiterGone(int partition, long waiterId) {
        waiters.remove(waiterId);
        PartitionRuntime runtime = owned.get(partition);
        if (runtime != null) {
            runtime.post(new ProgramEvent.WaiterDisconnected(waiterId));
        }
    }

    /** Hands an event about a call to the partition it belongs to. */
    public void post(long callId, ProgramEvent event) {
        PartitionRuntime runtime = owned.get((int) (callId >>> PARTITION_SHIFT));
        if (runtime != null) {
            runtime.post(event);
        }
    }

    /** Hands an event to every owned partition. */
    public void postAll(ProgramEvent event) {
        owned.values().forEach(runtime -> runtime.post(event));
    }

    /** A new configuration is in force. */
    public void configurationChanged(Configuration changed) {
        configuration.set(changed);
        postAll(new ProgramEvent.ConfigurationChanged(changed));
    }

    /** Partitions owned now. */
    public List<Integer> ownedPartitions() {
        return new ArrayList<>(owned.keySet());
    }

    /** Whether a program is live; empty if its partition is not owned here. */
    public Optional<CompletableFuture<Boolean>> isLive(ProgramKey program) {
        return Optional.ofNullable(owned.get(program.partition()))
                .map(runtime -> runtime.ask(machine -> machine.isLive(program)));
    }

    /** The live root programs of all owned partitions, once every partition has told. */
    public CompletableFuture<List<ProgramSummary>> programs() {
        List<CompletableFuture<List<ProgramSummary>>> parts =
                owned.values().stream()
                        .map(runtime -> runtime.ask(PartitionStateMachine::programs))
                        .toList();
        return CompletableFuture.allOf(parts.toArray(new CompletableFuture<?>[0]))
                .thenApply(all -> parts.stream().flatMap(part -> part.join().stream()).toList());
    }

    /** The histories of a root program; empty if its partition is not owned here. */
    public Optional<CompletableFuture<List<CallerEvent.ProgramRead>>> histories(ProgramKey root) {
        return Optional.ofNullable(owned.get(root.partition()))
                .map(runtime -> runtime.ask(machine -> machine.histories(root)));
    }
}
