package org.skylarkmast.bench.ownership;

import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.skylarkmast.core.journal.ReplayedPartition;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.OwnershipListener;
import org.skylarkmast.core.ownership.OwnershipSettings;
import org.skylarkmast.core.ownership.OwnershipStateMachine;
import org.skylarkmast.core.ownership.SessionRecord;
import org.skylarkmast.daemon.journal.JournalReader;
import org.skylarkmast.daemon.journal.JournalSettings;
import org.skylarkmast.daemon.journal.JournalWriter;
import org.skylarkmast.daemon.loop.ThreadEventLoop;
import org.skylarkmast.daemon.ownership.NodeSession;
import org.skylarkmast.daemon.ownership.OwnershipService;
import org.skylarkmast.daemon.store.EtcdStore;

/** A node that owns partitions and serves no calls; counts the ownership events. */
final class BenchNode implements OwnershipListener, AutoCloseable {
    private static final long LEASE_TTL_MS = 6_000;
    private static final long STORE_CALL_TIMEOUT_MS = 2_000;

    final Set<Integer> owned = ConcurrentHashMap.newKeySet();
    final AtomicInteger acquired = new AtomicInteger();
    final AtomicInteger reacquired = new AtomicInteger();
    final AtomicInteger lost = new AtomicInteger();
    final JournalWriter journal;

    private final EtcdStore store;
    private final ThreadEventLoop loop;
    private final ExecutorService blockingExecutor = Executors.newVirtualThreadPerTaskExecutor();
    private final OwnershipService ownership;

    BenchNode(String name, String domain, int port, OwnershipSettings settings, double writesPerS) {
        store = new EtcdStore(List.of("127.0.0.1:" + port), STORE_CALL_TIMEOUT_MS);
        loop =
                new ThreadEventLoop(
                        name,
                        failure -> {
                            throw failure;
                        });
        NodeSession session =
                new NodeSession(
                        store,
                        System::nanoTime,
                        () -> UUID.randomUUID().toString(),
                        new SessionRecord(name, domain, name + ":1", 1, false),
                        LEASE_TTL_MS,
                        LEASE_TTL_MS / 10);
        journal =
                new JournalWriter(
                        store,
                        loop,
                        blockingExecutor,
                        System::nanoTime,
                        () -> UUID.randomUUID().toString(),
                        (copies, marks) -> 0,
                        JournalSettings.withWriteShare(writesPerS));
        ownership =
                new OwnershipService(
                        store,
                        session,
                        new OwnershipStateMachine(ProgramKey.PARTITIONS, settings),
                        new JournalReader(store, partition -> List.of()),
                        journal,
                        loop,
                        blockingExecutor,
                        System::nanoTime,
                        LEASE_TTL_MS / 3);
    }

    void start() {
        ownership.start(this);
    }

    @Override
    public void acquired(int partition, long epoch, ReplayedPartition replay) {
        acquired.incrementAndGet();
        owned.add(partition);
    }

    @Override
    public void reacquired(int partition, long epoch) {
        reacquired.incrementAndGet();
        owned.add(partition);
    }

    @Override
    public void lost(int partition) {
        lost.incrementAndGet();
        owned.remove(partition);
    }

    @Override
    public void release(int partition, Runnable whenQuiesced) {
        whenQuiesced.run();
    }

    @Override
    public void close() {
        ownership.close();
        loop.close();
        blockingExecutor.close();
        store.close();
    }
}
