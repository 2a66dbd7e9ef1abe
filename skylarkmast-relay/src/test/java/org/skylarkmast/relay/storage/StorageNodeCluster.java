package org.skylarkmast.relay.storage;

import java.io.IOException;
import java.net.BindException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpHandler;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.limit.AllowanceGranter;
import org.skylarkmast.relay.limit.LeaseRelay;
import org.skylarkmast.relay.limit.QuotaTolerance;
import org.skylarkmast.relay.limit.SendRateLimiter;
import org.skylarkmast.relay.loadreport.LoadReportAggregator;
import org.skylarkmast.relay.mirror.MirrorExchange;
import org.skylarkmast.relay.mirror.StoreMirror;

/**
 * In-process storage nodes, each with its own folder and port; the test runs the rounds.
 *
 * <p>Nothing here loses power, so writes do not wait for the disk: how long it takes would decide
 * which calls are given up.
 */
final class StorageNodeCluster implements AutoCloseable {
    /** Far longer than a withdrawal takes, so that it decides no test. */
    private static final long CONTENTION_WAIT_MS = 4000;

    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MIN_STORAGE_NODES = 2;
    private static final long BIND_TIMEOUT_NS = 20_000_000_000L;

    private final Path root;
    private final DiskSync diskSync;
    private final Map<String, StorageNode> storageNodes = new LinkedHashMap<>();
    private final Registry registry = new Registry();
    private final CurrentView clientViews = new CurrentView(view -> {});
    private final AtomicLong clockAheadMs = new AtomicLong();

    /** An in-memory registry. */
    private final class Registry implements StorageNodeRegistry {
        private LedgerView view = LedgerView.NONE;
        private final Set<String> retiring = new HashSet<>();
        private final List<String> retirementReports = new ArrayList<>();

        @Override
        public synchronized boolean publish(LedgerView before, LedgerView next) {
            if (!view.equals(before)) {
                return false;
            }
            view = next;
            storageNodes.values().stream()
                    .filter(storageNode -> storageNode.server != null)
                    .forEach(storageNode -> storageNode.views.offer(next));
            clientViews.offer(next);
            return true;
        }

        @Override
        public synchronized List<LedgerView.Member> registered() {
            return storageNodes.values().stream().map(storageNode -> storageNode.self).toList();
        }

        @Override
        public Set<String> retiring() {
            return retiring;
        }

        @Override
        public boolean reportRetirement(String node, boolean done) {
            retirementReports.add(node + (done ? " done" : " begun"));
            return true;
        }

        @Override
        public boolean viewKnown() {
            return true;
        }
    }

    private static final StoreMirror.Listener NO_OP_LISTENER =
            new StoreMirror.Listener() {
                @Override
                public void written(StoreEntry entry) {}

                @Override
                public void removed(String key) {}

                @Override
                public void loaded() {}
            };

    private static final class StorageNode {
        final String node;
        LedgerView.Member self;
        CurrentView views;
        RecordIndex index;
        QuorumMembership membership;
        ViewCoordinator coordinator;
        HttpHandler handler;
        HttpServer server;

        StorageNode(String node) {
            this.node = node;
        }
    }

    StorageNodeCluster(Path root, String... nodes) throws Exception {
        this(root, _ -> {}, nodes);
    }

    /**
     * @param diskSync called in place of a sync of the disk
     */
    StorageNodeCluster(Path root, DiskSync diskSync, String... nodes) throws Exception {
        this.root = root;
        this.diskSync = diskSync;
        for (String node : nodes) {
            add(node);
        }
        runAllRounds();
    }

    /**
     * Starts a storage node with an empty disk, or with the disk of an earlier one of that name.
     */
    void add(String node) throws IOException {
        StorageNode storageNode = new StorageNode(node);
        start(storageNode, 0);
        storageNodes.put(node, storageNode);
        storageNode.views.offer(registry.view);
    }

    private void start(StorageNode storageNode, int port) throws IOException {
        Path folder = root.resolve(storageNode.node);
        ViewStore viewStore = new ViewStore(folder, diskSync);
        storageNode.views = new CurrentView(viewStore::storeView, view -> {});
        storageNode.views.offer(viewStore.latest());
        storageNode.index = new RecordIndex(folder.resolve("records"), this::wallClockMs, diskSync);
        HttpServer[] server = new HttpServer[1];
        StorageNodeHandler[] handler = new StorageNodeHandler[1];
        server[0] = bind(port, call -> handler[0].handle(call));
        storageNode.server = server[0];
        storageNode.self = new LedgerView.Member(storageNode.node, "127.0.0.1:" + server[0].port());
        storageNode.membership =
                new QuorumMembership(storageNode.self, viewStore, storageNode.views);
        handler[0] =
                new StorageNodeHandler(
                        storageNode.index,
                        storageNode.membership,
                        storageNode.views,
                        new LoadReportAggregator(System::nanoTime, new Random()),
                        new MirrorExchange(
                                new StoreMirror(NO_OP_LISTENER, System::nanoTime),
                                new StorageNodeClient(
                                        new HttpClient(4, 300), storageNode.views::offer),
                                () -> true),
                        new SendRateLimiter(System::nanoTime, 2, () -> 0),
                        new AllowanceGranter(System::nanoTime, new QuotaTolerance(5, 0.1, 20)),
                        new LeaseRelay(new StorageNodeClient(new HttpClient(4, 300), _ -> {})));
        storageNode.handler = handler[0];
        storageNode.coordinator =
                new ViewCoordinator(
                        storageNode.index,
                        storageNode.membership,
                        storageNode.views,
                        new StorageNodeClient(new HttpClient(4, 300), storageNode.views::offer),
                        registry,
                        true,
                        MIN_STORAGE_NODES,
                        this::clockNs);
    }

    private long clockNs() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(clockAheadMs.get());
    }

    /**
     * Binds {@code port}, retrying while the previous server still holds it: the kernel releases a
     * listening port only once the thread that blocks in accept has run again.
     */
    private static HttpServer bind(int port, HttpHandler handler) throws IOException {
        long endNs = System.nanoTime() + BIND_TIMEOUT_NS;
        while (true) {
            try {
                return HttpServer.start("127.0.0.1", port, MAX_BODY_BYTES, handler);
            } catch (BindException e) {
                if (port == 0 || System.nanoTime() - endNs >= 0) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }

    /** Runs enough rounds of all running storage nodes to finish all pending view changes. */
    void runAllRounds() throws InterruptedException {
        for (int round = 0; round < 4 * storageNodes.size() + 2; round++) {
            for (StorageNode storageNode : List.copyOf(storageNodes.values())) {
                if (storageNode.server != null) {
                    storageNode.coordinator.runRound();
                }
            }
        }
    }

    /** Runs one round of one storage node. */
    void runRound(String node) throws InterruptedException {
        storageNodes.get(node).coordinator.runRound();
    }

    /** The number of turns that a storage node holds. */
    int turnCount(String node) {
        return storageNodes.get(node).index.turnCount();
    }

    /** Stops a storage node and keeps its disk. */
    void stop(String node) {
        StorageNode storageNode = storageNodes.get(node);
        storageNode.server.close();
        storageNode.index.close();
        storageNode.server = null;
    }

    /** Makes a running storage node unreachable. */
    void disconnect(String node) {
        storageNodes.get(node).server.close();
    }

    /** Ends what {@link #disconnect} began. */
    void reconnect(String node) throws IOException {
        StorageNode storageNode = storageNodes.get(node);
        storageNode.server = bind(port(storageNode), storageNode.handler);
    }

    private static int port(StorageNode storageNode) {
        return Integer.parseInt(storageNode.self.address().substring("127.0.0.1:".length()));
    }

    private long wallClockMs() {
        return System.currentTimeMillis() + clockAheadMs.get();
    }

    /** Lets time pass for the retention of records, then removes those that have expired. */
    void passRetention(long ms) {
        clockAheadMs.addAndGet(ms);
        storageNodes.values().forEach(storageNode -> storageNode.index.expire());
    }

    /** Lets time pass without a response from those that are stopped. */
    void passSilence(long ms) throws InterruptedException {
        runAllRounds();
        clockAheadMs.addAndGet(ms);
        runAllRounds();
    }

    /** Lets time pass without a round. */
    void passTime(long ms) {
        clockAheadMs.addAndGet(ms);
    }

    /** Starts a stopped storage node at its previous address. */
    void restart(String node) throws IOException {
        StorageNode storageNode = storageNodes.get(node);
        start(storageNode, port(storageNode));
        storageNode.views.offer(registry.view);
    }

    /** Erases the disk of a stopped storage node. */
    void wipe(String node) throws IOException {
        try (Stream<Path> files = Files.walk(root.resolve(node))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    void retire(String node) {
        registry.retiring.add(node);
    }

    List<String> retirementReports() {
        return registry.retirementReports;
    }

    /** Makes a storage node receive {@code view}, which need not be published. */
    void adoptView(String node, LedgerView view) {
        storageNodes.get(node).views.offer(view);
    }

    /**
     * Writes {@code turn} at one storage node, under its view as published.
     *
     * @return whether the storage node acknowledged the write
     */
    boolean appendAt(String node, TurnRecord turn) {
        byte[] body =
                LedgerCodec.encode(
                        out -> {
                            LedgerCodec.writeTurn(out, turn);
                            out.writeUTF("");
                            out.writeUTF(turn.id());
                            out.writeInt(0);
                            out.writeLong(turn.retentionMs());
                        });
        Boolean acknowledged =
                new StorageNodeClient(new HttpClient(1, 300), _ -> {})
                        .call(
                                storageNodes.get(node).self,
                                registry.view.version(),
                                LedgerOperation.APPEND,
                                body,
                                BIND_TIMEOUT_NS / 1_000_000,
                                _ -> true);
        return acknowledged != null;
    }

    LedgerView view() {
        return registry.view;
    }

    boolean voting(String node) {
        return storageNodes.get(node).membership.voting();
    }

    /** Whether a storage node has fetched all that was acknowledged before the current view. */
    boolean synced(String node) {
        return storageNodes.get(node).membership.status().syncedVersion()
                == registry.view.version();
    }

    LedgerClient client() {
        return new LedgerClient(
                clientViews,
                new StorageNodeClient(new HttpClient(8, 300), clientViews::offer),
                "127.",
                Executors.newVirtualThreadPerTaskExecutor(),
                CONTENTION_WAIT_MS);
    }

    @Override
    public void close() {
        for (StorageNode storageNode : storageNodes.values()) {
            if (storageNode.server != null) {
                storageNode.server.close();
                storageNode.index.close();
            }
        }
    }
}
