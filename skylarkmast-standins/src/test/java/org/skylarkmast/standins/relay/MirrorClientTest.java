package org.skylarkmast.standins.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
import org.skylarkmast.relay.loadreport.LoadReportAggregator;
import org.skylarkmast.relay.mirror.KeyRange;
import org.skylarkmast.relay.mirror.MirrorClient;
import org.skylarkmast.relay.mirror.MirrorExchange;
import org.skylarkmast.relay.mirror.StoreFollower;
import org.skylarkmast.relay.mirror.StoreMirror;
import org.skylarkmast.relay.storage.QuorumMembership;
import org.skylarkmast.relay.storage.RecordIndex;
import org.skylarkmast.relay.storage.StorageNodeHandler;
import org.skylarkmast.standins.store.InMemoryStore;
import org.skylarkmast.standins.store.StoreState;

/** How changes in the key-value service reach an entry node. */
class MirrorClientTest {
    private static final KeyRange ALL = new KeyRange("", "\uffff");
    private static final long PATIENCE_S = 20;

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final StoreState state = new StoreState(System::nanoTime);
    private final InMemoryStore operator = new InMemoryStore(state, executor);
    private final List<StorageNode> storageNodes = new ArrayList<>();

    @TempDir private Path folder;

    private MirrorClient client;

    /** What a process knows of the service. */
    private static final class Known implements StoreMirror.Listener {
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
        final StoreMirror mirror = new StoreMirror(new Known(), System::nanoTime);
        final StoreFollower follower = new StoreFollower(store, ALL.from(), ALL.to(), mirror);
        final MirrorExchange exchange =
                new MirrorExchange(
                        mirror,
                        new StorageNodeClient(new HttpClient(4, 300), views::offer),
                        () -> follower.connected() && !this.cutOff);
        final RecordIndex index;
        final HttpServer server;

        /** Whether it has noticed that the service does not answer it. */
        volatile boolean cutOff;

        final LedgerView.Member self;

        StorageNode(String node) throws IOException {
            index = new RecordIndex(folder.resolve(node), System::currentTimeMillis);
            StorageNodeHandler[] handler = new StorageNodeHandler[1];
            server = HttpServer.start("127.0.0.1", 0, 1 << 20, call -> handler[0].handle(call));
            self = new LedgerView.Member(node, "127.0.0.1:" + server.port());
            QuorumMembership membership =
                    new QuorumMembership(self, folder.resolve(node + "-marker"), views);
            handler[0] =
                    new StorageNodeHandler(
                            index,
                            membership,
                            views,
                            new LoadReportAggregator(System::nanoTime),
                            exchange);
        }

        void cutOff() {
            store.setDown(true);
            cutOff = true;
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
        var _ = operator.commit(new Txn(List.of(), List.of(new Write.Put(key, bytes, 0))));
    }

    private LedgerView view() {
        return new LedgerView(
                1, storageNodes.stream().map(storageNode -> storageNode.self).toList());
    }

    private Known entryNode(InMemoryStore store) {
        CurrentView views = new CurrentView(view -> {});
        views.offer(view());
        LedgerClient ledger =
                new LedgerClient(
                        views,
                        new StorageNodeClient(new HttpClient(4, 300), views::offer),
                        "127.",
                        executor);
        Known known = new Known();
        StoreMirror mirror = new StoreMirror(known, System::nanoTime);
        client = new MirrorClient(store, ALL, mirror, ledger);
        return known;
    }

    private static void await(Known known, String key, String value) {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!value.equals(known.values.get(key)) && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        assertThat(known.values).containsEntry(key, value);
    }

    /** However much changes, an entry node calls the service once. */
    @Test
    void changesComeThroughStorageNodes() {
        storageNodes.forEach(
                storageNode -> storageNode.exchange.fetchChanges(view(), storageNode.self));
        InMemoryStore store = new InMemoryStore(state, executor);
        Known known = entryNode(store);
        await(known, "config", "1");
        for (int version = 2; version < 30; version++) {
            storageNodes.forEach(
                    storageNode -> storageNode.exchange.fetchChanges(view(), storageNode.self));
            put("config", Integer.toString(version));
            await(known, "config", Integer.toString(version));
        }
        assertThat(store.reads()).isEqualTo(1);
    }

    /** The storage node that is asked is cut off from the service, or both are. */
    @ParameterizedTest(name = "{0} storage nodes cut off")
    @ValueSource(ints = {1, 2})
    void changesComeThoughStorageNodesAreCutOffFromTheService(int cutOff) {
        Known known = entryNode(new InMemoryStore(state, executor));
        await(known, "config", "1");
        for (StorageNode storageNode : storageNodes.subList(0, cutOff)) {
            storageNode.cutOff();
        }
        put("config", "2");
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!"2".equals(known.values.get("config")) && System.nanoTime() < endNs) {
            storageNodes.forEach(
                    storageNode -> storageNode.exchange.fetchChanges(view(), storageNode.self));
        }
        assertThat(known.values).containsEntry("config", "2");
    }

    /**
     * The storage nodes' watches fell silent, which looks like no news, and they cannot ask others.
     */
    @Test
    void changesComeThoughStorageNodesDoNotNoticeThatTheyAreCutOff() {
        Known known = entryNode(new InMemoryStore(state, executor));
        await(known, "config", "1");
        storageNodes.forEach(storageNode -> storageNode.store.setDown(true));
        put("config", "2");
        LedgerView.Member unreachable = new LedgerView.Member("c", "127.0.0.1:1");
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!"2".equals(known.values.get("config")) && System.nanoTime() < endNs) {
            for (StorageNode storageNode : storageNodes) {
                storageNode.exchange.fetchChanges(
                        new LedgerView(1, List.of(storageNode.self, unreachable)),
                        storageNode.self);
            }
        }
        assertThat(known.values).containsEntry("config", "2");
    }

    @Test
    void changesComeWithoutAnyStorageNode() {
        Known known = entryNode(new InMemoryStore(state, executor));
        await(known, "config", "1");
        storageNodes.forEach(StorageNode::close);
        put("config", "2");
        await(known, "config", "2");
    }

    /** A service that is away must not be asked more often by every node. */
    @Test
    void whatIsKnownStaysWhileNobodyIsInTouch() {
        InMemoryStore store = new InMemoryStore(state, executor);
        Known known = entryNode(store);
        await(known, "config", "1");
        store.setDown(true);
        storageNodes.forEach(StorageNode::cutOff);
        put("late", "1");
        store.setDown(false);
        await(known, "late", "1");
        assertThat(known.values).containsEntry("config", "1");
    }
}
