package org.skylarkmast.standins.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.Write;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.skylarkmast.relay.limit.AllowanceGranter;
import org.skylarkmast.relay.limit.LeaseRelay;
import org.skylarkmast.relay.limit.QuotaTolerance;
import org.skylarkmast.relay.limit.SendRateLimiter;
import org.skylarkmast.relay.loadreport.LoadReportAggregator;
import org.skylarkmast.relay.mirror.KeyRange;
import org.skylarkmast.relay.mirror.MirrorClient;
import org.skylarkmast.relay.mirror.MirrorExchange;
import org.skylarkmast.relay.mirror.StoreFollower;
import org.skylarkmast.relay.mirror.StoreMirror;
import org.skylarkmast.relay.storage.DiskSync;
import org.skylarkmast.relay.storage.QuorumMembership;
import org.skylarkmast.relay.storage.RecordIndex;
import org.skylarkmast.relay.storage.StorageNodeHandler;
import org.skylarkmast.relay.storage.ViewStore;
import org.skylarkmast.standins.store.InMemoryStore;
import org.skylarkmast.standins.store.StoreState;

/** Tests how changes in the key-value service reach an entry node. */
class MirrorClientTest {
    private static final KeyRange ALL = new KeyRange("", "\uffff");
    private static final long TIMEOUT_S = 20;

    /** Longer than an entry node that misses changes pauses between reads of the service. */
    private static final long MAX_READ_PAUSE_NS = TimeUnit.SECONDS.toNanos(5);

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final StoreState state = new StoreState(System::nanoTime);
    private final InMemoryStore operatorStore = new InMemoryStore(state, executor);
    private final List<StorageNode> storageNodes = new ArrayList<>();

    @TempDir private Path folder;

    private MirrorClient client;

    /** Records the mirrored content of the service. */
    private static final class MirroredContent implements StoreMirror.Listener {
        final Map<String, String> values = new ConcurrentHashMap<>();

        @Override
        public void written(StoreEntry entry) {
            values.put(entry.key(), new String(entry.value(), StandardCharsets.UTF_8));
        }

        @Override
        public void removed(String key) {
            values.remove(key);
        }

        @Override
        public void loaded() {}
    }

    private final class StorageNode {
        final InMemoryStore store = new InMemoryStore(state, executor);
        final CurrentView views = new CurrentView(view -> {});
        final StoreMirror mirror = new StoreMirror(new MirroredContent(), System::nanoTime);
        final StoreFollower follower = new StoreFollower(store, ALL.from(), ALL.to(), mirror);
        final MirrorExchange exchange =
                new MirrorExchange(
                        mirror,
                        new StorageNodeClient(new HttpClient(4, 300), views::offer),
                        () -> follower.connected() && !this.disconnected);
        final RecordIndex index;
        final HttpServer server;

        /** Whether the storage node has noticed that it cannot reach the service. */
        volatile boolean disconnected;

        final LedgerView.Member self;

        StorageNode(String node) throws IOException {
            index =
                    new RecordIndex(
                            folder.resolve(node), System::currentTimeMillis, DiskSync.FILE_DATA);
            StorageNodeHandler[] handler = new StorageNodeHandler[1];
            server = HttpServer.start("127.0.0.1", 0, 1 << 20, call -> handler[0].handle(call));
            self = new LedgerView.Member(node, "127.0.0.1:" + server.port());
            QuorumMembership membership =
                    new QuorumMembership(
                            self,
                            new ViewStore(folder.resolve(node + "-views"), DiskSync.FILE_DATA),
                            views);
            handler[0] =
                    new StorageNodeHandler(
                            index,
                            membership,
                            views,
                            new LoadReportAggregator(System::nanoTime, new Random()),
                            exchange,
                            new SendRateLimiter(System::nanoTime, 2, () -> 0),
                            new AllowanceGranter(System::nanoTime, new QuotaTolerance(5, 0.1, 20)),
                            new LeaseRelay(new StorageNodeClient(new HttpClient(4, 300), _ -> {})));
        }

        void disconnectFromService() {
            store.setDown(true);
            disconnected = true;
        }

        void reconnectToService() {
            store.setDown(false);
            disconnected = false;
        }

        void close() {
            follower.close();
            server.close();
            index.close();
        }
    }

    @BeforeEach
    void start() throws IOException {
        put("config", "1");
        storageNodes.add(new StorageNode("a"));
        storageNodes.add(new StorageNode("b"));
    }

    @AfterEach
    void stop() {
        if (client != null) {
            client.close();
        }
        storageNodes.forEach(StorageNode::close);
        executor.shutdownNow();
    }

    private void put(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        var _ = operatorStore.commit(new Txn(List.of(), List.of(new Write.Put(key, bytes, 0))));
    }

    private void remove(String key) {
        var _ = operatorStore.commit(new Txn(List.of(), List.of(new Write.Delete(key))));
    }

    private LedgerView view() {
        return new LedgerView(
                1, storageNodes.stream().map(storageNode -> storageNode.self).toList());
    }

    private MirroredContent startEntryNode(InMemoryStore store) {
        CurrentView views = new CurrentView(view -> {});
        views.offer(view());
        LedgerClient ledger =
                new LedgerClient(
                        views,
                        new StorageNodeClient(new HttpClient(4, 300), views::offer),
                        "127.",
                        executor,
                        0);
        MirroredContent content = new MirroredContent();
        StoreMirror mirror = new StoreMirror(content, System::nanoTime);
        client = new MirrorClient(store, ALL, mirror, ledger);
        return content;
    }

    private static void await(MirroredContent content, String key, String value) {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!value.equals(content.values.get(key)) && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        assertThat(content.values).containsEntry(key, value);
    }

    /** An entry node reads from the service once, however many changes follow. */
    @Test
    void changesArriveThroughStorageNodes() {
        storageNodes.forEach(
                storageNode -> storageNode.exchange.fetchChanges(view(), storageNode.self));
        InMemoryStore store = new InMemoryStore(state, executor);
        MirroredContent content = startEntryNode(store);
        await(content, "config", "1");
        for (int version = 2; version < 30; version++) {
            storageNodes.forEach(
                    storageNode -> storageNode.exchange.fetchChanges(view(), storageNode.self));
            put("config", Integer.toString(version));
            await(content, "config", Integer.toString(version));
        }
        assertThat(store.reads()).isEqualTo(1);
    }

    /** One or both storage nodes cannot reach the service and have noticed it. */
    @ParameterizedTest(name = "{0} storage nodes disconnected")
    @ValueSource(ints = {1, 2})
    void changesArriveWhenStorageNodesCannotReachTheService(int disconnected) {
        MirroredContent content = startEntryNode(new InMemoryStore(state, executor));
        await(content, "config", "1");
        for (StorageNode storageNode : storageNodes.subList(0, disconnected)) {
            storageNode.disconnectFromService();
        }
        put("config", "2");
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!"2".equals(content.values.get("config")) && System.nanoTime() < endNs) {
            storageNodes.forEach(
                    storageNode -> storageNode.exchange.fetchChanges(view(), storageNode.self));
        }
        assertThat(content.values).containsEntry("config", "2");
    }

    /**
     * The watches of the storage nodes deliver nothing, which cannot be told from an unchanged
     * service, and the storage nodes reach no other storage node.
     */
    @Test
    void changesArriveWhenStorageNodesDoNotNoticeLossOfTheService() {
        MirroredContent content = startEntryNode(new InMemoryStore(state, executor));
        await(content, "config", "1");
        storageNodes.forEach(storageNode -> storageNode.store.setDown(true));
        put("config", "2");
        LedgerView.Member unreachable = new LedgerView.Member("c", "127.0.0.1:1");
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!"2".equals(content.values.get("config")) && System.nanoTime() < endNs) {
            for (StorageNode storageNode : storageNodes) {
                storageNode.exchange.fetchChanges(
                        new LedgerView(1, List.of(storageNode.self, unreachable)),
                        storageNode.self);
            }
        }
        assertThat(content.values).containsEntry("config", "2");
    }

    @Test
    void changesArriveWithoutAnyStorageNode() {
        MirroredContent content = startEntryNode(new InMemoryStore(state, executor));
        await(content, "config", "1");
        storageNodes.forEach(StorageNode::close);
        put("config", "2");
        await(content, "config", "2");
    }

    /**
     * While the service and the storage nodes are unreachable, an entry node keeps the mirrored
     * content: an unavailable service must not receive more calls from every node.
     */
    @Test
    void keepsContentWhileNothingIsReachable() {
        InMemoryStore store = new InMemoryStore(state, executor);
        MirroredContent content = startEntryNode(store);
        await(content, "config", "1");
        store.setDown(true);
        storageNodes.forEach(StorageNode::disconnectFromService);
        put("late", "1");
        store.setDown(false);
        await(content, "late", "1");
        assertThat(content.values).containsEntry("config", "1");
    }

    @Test
    void runnerRemovedAfterAnOutageWasRepairedByStorageNodesIsNotKept() {
        put("runner", "1");
        InMemoryStore store = new InMemoryStore(state, executor);
        MirroredContent content = startEntryNode(store);
        await(content, "runner", "1");
        failDirectRead(store);
        storageNodes.forEach(StorageNode::reconnectToService);
        put("config", "2");
        awaitThroughStorageNodes(content, "config", "2");
        awaitNoDirectRead(store);
        storageNodes.forEach(StorageNode::close);
        remove("runner");
        put("config", "3");
        await(content, "config", "3");
        assertThat(content.values).doesNotContainKey("runner");
    }

    /** Has the entry node read the service in vain while no storage node is connected to it. */
    private void failDirectRead(InMemoryStore store) {
        store.setDown(true);
        storageNodes.forEach(StorageNode::disconnectFromService);
        long readsBefore = store.reads();
        long startedNs = System.nanoTime();
        while (store.reads() == readsBefore
                && System.nanoTime() - startedNs < TimeUnit.SECONDS.toNanos(TIMEOUT_S)) {
            Thread.onSpinWait();
        }
        assertThat(store.reads()).isGreaterThan(readsBefore);
        store.setDown(false);
    }

    /** Waits until the entry node takes the storage nodes to be up to date. */
    private void awaitNoDirectRead(InMemoryStore store) {
        long readsBefore = -1;
        while (store.reads() != readsBefore) {
            readsBefore = store.reads();
            long startedNs = System.nanoTime();
            while (System.nanoTime() - startedNs < MAX_READ_PAUSE_NS) {
                storageNodes.forEach(
                        storageNode -> storageNode.exchange.fetchChanges(view(), storageNode.self));
            }
        }
    }

    private void awaitThroughStorageNodes(MirroredContent content, String key, String value) {
        long startedNs = System.nanoTime();
        while (!value.equals(content.values.get(key))
                && System.nanoTime() - startedNs < TimeUnit.SECONDS.toNanos(TIMEOUT_S)) {
            storageNodes.forEach(
                    storageNode -> storageNode.exchange.fetchChanges(view(), storageNode.self));
        }
        assertThat(content.values).containsEntry(key, value);
    }

    @Test
    void storageNodeThatIsBehindTheEntryNodeIsNotTakenToBeUpToDate() {
        storageNodes.forEach(storageNode -> storageNode.store.setDown(true));
        put("config", "2");
        MirroredContent content = startEntryNode(new InMemoryStore(state, executor));
        await(content, "config", "2");
        put("config", "3");
        awaitThroughStorageNodes(content, "config", "3");
    }
}
