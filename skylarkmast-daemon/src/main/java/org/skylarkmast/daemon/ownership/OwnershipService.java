package org.skylarkmast.daemon.ownership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.LongSupplier;
import org.skylarkmast.core.journal.JournalState;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.OwnerLocation;
import org.skylarkmast.core.ownership.OwnershipAction;
import org.skylarkmast.core.ownership.OwnershipEvent;
import org.skylarkmast.core.ownership.OwnershipListener;
import org.skylarkmast.core.ownership.OwnershipStateMachine;
import org.skylarkmast.core.ownership.PartitionDirectory;
import org.skylarkmast.core.ownership.SessionRecord;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.daemon.journal.JournalReader;
import org.skylarkmast.daemon.journal.JournalWriter;
import org.skylarkmast.daemon.loop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the actions of the ownership state machine and publishes the directory of owners.
 *
 * <p>All state belongs to the ownership loop; public methods may be called from any thread.
 */
public final class OwnershipService implements PartitionDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(OwnershipService.class);
    private static final long NS_PER_MS = 1_000_000L;
    private static final long TICK_NS = 100 * NS_PER_MS;
    private static final long READ_RETRY_NS = 200 * NS_PER_MS;

    /** Limits the memory for journals and this node's share of the service's read rate. */
    private static final int MAX_CONCURRENT_READS = 16;

    private final NodeSession session;
    private final OwnershipStateMachine machine;
    private final JournalReader reader;
    private final JournalWriter journal;
    private final EventLoop loop;
    private final Executor blocking;
    private final LongSupplier nowNs;
    private final OwnershipRecordWriter recordWriter;
    private final DirectoryWatch directoryWatch;
    private final SessionRenewer sessionRenewer;

    private final AtomicReferenceArray<PublishedOwnership> published =
            new AtomicReferenceArray<>(ProgramKey.PARTITIONS);
    private final Deque<OwnershipAction.ReadJournal> queuedReads = new ArrayDeque<>();
    private final Map<Integer, JournalState> readJournals = new HashMap<>();
    private int readsInFlight;
    private OwnershipListener listener;
    private Runnable whenDrained;
    private volatile Map<String, SessionRecord> sessions = Map.of();
    private volatile boolean closed;

    private record PublishedOwnership(Optional<OwnerLocation> owner, boolean owned, boolean held) {}

    /**
     * Creates a service that owns nothing.
     *
     * @param loop owns all state; the listener is called on it
     * @param blocking runs blocking calls to the store, each on a separate thread
     * @param nowNs monotonic clock
     * @param renewIntervalMs time between renewals of the lease; at most a third of its TTL
     */
    public OwnershipService(
            KeyValueStore store,
            NodeSession session,
            OwnershipStateMachine machine,
            JournalReader reader,
            JournalWriter journal,
            EventLoop loop,
            Executor blocking,
            LongSupplier nowNs,
            long renewIntervalMs) {
        this.session = session;
        this.machine = machine;
        this.reader = reader;
        this.journal = journal;
        this.loop = loop;
        this.blocking = blocking;
        this.nowNs = nowNs;
        recordWriter = new OwnershipRecordWriter(store);
        directoryWatch = new DirectoryWatch(store, loop, blocking, this::onEvent);
        sessionRenewer =
                new SessionRenewer(session, loop, blocking, renewIntervalMs, this::onEvent);
        for (int partition = 0; partition < ProgramKey.PARTITIONS; partition++) {
            published.set(partition, new PublishedOwnership(Optional.empty(), false, false));
        }
    }

    /** Opens the session and starts claiming partitions; must be called once. */
    public void start(OwnershipListener ownershipListener) {
        journal.start(
                (partition, claimRevision) ->
                        loop.execute(
                                () ->
                                        onEvent(
                                                new OwnershipEvent.Fenced(
                                                        partition, claimRevision))));
        loop.execute(
                () -> {
                    listener = ownershipListener;
                    directoryWatch.start();
                    sessionRenewer.start();
                    tick();
                });
    }

    /**
     * Hands all partitions over.
     *
     * @param done run on the ownership loop once this node holds no partition; never run if there
     *     is no other live node
     */
    public void drain(Runnable done) {
        loop.execute(
                () -> {
                    whenDrained = done;
                    onEvent(new OwnershipEvent.DrainStarted());
                    sessionRenewer.markDraining();
                });
    }

    /** Stops the service and closes the session; blocks for one call to the key-value service. */
    public void close() {
        closed = true;
        loop.execute(
                () -> {
                    directoryWatch.close();
                    sessionRenewer.close();
                });
        session.close();
    }

    @Override
    public Optional<OwnerLocation> ownerOf(int partition) {
        return published.get(partition).owner();
    }

    @Override
    public boolean ownedHere(int partition, long atNs) {
        return published.get(partition).owned() && session.leaseValidAt(atNs);
    }

    @Override
    public boolean heldHere(int partition) {
        return published.get(partition).held();
    }

    @Override
    public void refresh(int partition) {
        loop.execute(() -> directoryWatch.refresh(partition));
    }

    /** The live sessions by incarnation, as last reported by the key-value service. */
    public Map<String, SessionRecord> sessions() {
        return sessions;
    }

    private void tick() {
        if (!closed) {
            onEvent(new OwnershipEvent.Tick());
            loop.schedule(this::tick, TICK_NS);
        }
    }

    private void onEvent(OwnershipEvent event) {
        if (closed) {
            return;
        }
        List<OwnershipAction> actions = machine.on(event, nowNs.getAsLong());
        publish(event);
        actions.forEach(this::perform);
        if (event instanceof OwnershipEvent.SessionGone(String incarnation)) {
            sessionRenewer.onSessionGone(incarnation);
        }
        boolean drained = whenDrained != null && machine.heldCount() == 0;
        if (drained) {
            Runnable done = whenDrained;
            whenDrained = null;
            done.run();
        }
    }

    private void publish(OwnershipEvent event) {
        switch (event) {
            case OwnershipEvent.RecordSeen seen -> publish(seen.partition());
            case OwnershipEvent.JournalRead read -> publish(read.partition());
            case OwnershipEvent.Fenced fenced -> publish(fenced.partition());
            case OwnershipEvent.SessionOpened opened -> publishAll();
            case OwnershipEvent.SessionLost lost -> publishAll();
            case OwnershipEvent.SessionSeen seen -> publishAll();
            case OwnershipEvent.SessionGone gone -> publishAll();
            case OwnershipEvent.DrainStarted started -> publishAll();
            // These events do not change the owner or holder of a partition.
            case OwnershipEvent.DirectoryRead ignored -> {}
            case OwnershipEvent.ClaimAttemptFinished ignored -> {}
            case OwnershipEvent.Quiesced ignored -> {}
            case OwnershipEvent.HandOverAttemptFinished ignored -> {}
            case OwnershipEvent.Tick ignored -> {}
        }
    }

    private void publishAll() {
        sessions = machine.sessions();
        for (int partition = 0; partition < ProgramKey.PARTITIONS; partition++) {
            publish(partition);
        }
    }

    private void publish(int partition) {
        published.set(
                partition,
                new PublishedOwnership(
                        machine.ownerOf(partition),
                        machine.owns(partition),
                        machine.holds(partition)));
    }

    private void perform(OwnershipAction action) {
        switch (action) {
            case OwnershipAction.Claim claim ->
                    executeWrite(() -> recordWriter.claim(claim.requests()));
            case OwnershipAction.HandOver handOver ->
                    executeWrite(() -> recordWriter.handOver(handOver));
            case OwnershipAction.ReadJournal read -> {
                queuedReads.add(read);
                startQueuedReads();
            }
            case OwnershipAction.Acquired(int partition, long revision, long epoch) ->
                    onAcquired(partition, revision, epoch);
            case OwnershipAction.Reacquired(int partition, long revision, long epoch) -> {
                log("partition_reacquired", partition, epoch);
                journal.rebind(partition, revision, epoch);
                listener.reacquired(partition, epoch);
            }
            case OwnershipAction.Lost(int partition) -> {
                log("partition_lost", partition, 0);
                journal.close(partition);
                listener.lost(partition);
            }
            case OwnershipAction.Suspend(int partition) -> journal.suspend(partition);
            case OwnershipAction.Release(int partition, long claimRevision) ->
                    listener.release(partition, () -> onQuiesced(partition, claimRevision));
            case OwnershipAction.Refresh(int partition) -> directoryWatch.refresh(partition);
        }
    }

    /** A blocking write that returns the resulting events for the state machine. */
    @FunctionalInterface
    private interface StoreWrite {
        List<OwnershipEvent> run();
    }

    private void executeWrite(StoreWrite write) {
        blocking.execute(
                () -> {
                    List<OwnershipEvent> events = write.run();
                    loop.execute(() -> events.forEach(this::onEvent));
                });
    }

    private void onQuiesced(int partition, long claimRevision) {
        journal.whenFlushed(
                partition,
                () ->
                        loop.execute(
                                () ->
                                        onEvent(
                                                new OwnershipEvent.Quiesced(
                                                        partition, claimRevision))));
    }

    private void startQueuedReads() {
        while (readsInFlight < MAX_CONCURRENT_READS && !queuedReads.isEmpty()) {
            OwnershipAction.ReadJournal read = queuedReads.poll();
            if (!machine.awaitsJournalRead(read.partition(), read.revision())) {
                continue;
            }
            readsInFlight++;
            blocking.execute(
                    () -> {
                        JournalReader.ReadOutcome outcome = reader.read(read.partition());
                        loop.execute(() -> onJournalRead(read, outcome));
                    });
        }
    }

    private void onJournalRead(
            OwnershipAction.ReadJournal read, JournalReader.ReadOutcome outcome) {
        readsInFlight--;
        switch (outcome) {
            case JournalReader.ReadOutcome.Read(JournalState state) -> {
                readJournals.put(read.partition(), state);
                onEvent(new OwnershipEvent.JournalRead(read.partition(), read.revision()));
                readJournals.remove(read.partition());
            }
            case JournalReader.ReadOutcome.Unavailable(String reason) ->
                    loop.schedule(
                            () -> {
                                queuedReads.add(read);
                                startQueuedReads();
                            },
                            READ_RETRY_NS);
        }
        startQueuedReads();
    }

    private void onAcquired(int partition, long revision, long epoch) {
        JournalState state = readJournals.get(partition);
        log("partition_acquired", partition, epoch);
        journal.open(partition, revision, epoch, state);
        listener.acquired(partition, epoch, state.replay());
    }

    private static void log(String event, int partition, long epoch) {
        LOG.atInfo()
                .addKeyValue("event", event)
                .addKeyValue("partition", partition)
                .addKeyValue("epoch", epoch)
                .log();
    }
}
