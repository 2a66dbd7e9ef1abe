package org.skylarkmast.relay.keeper;

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
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.stream.Stream;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpHandler;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.relay.ledger.KeeperClient;
import org.skylarkmast.relay.ledger.KeeperView;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.ViewHolder;
import org.skylarkmast.relay.mirror.MirrorExchange;
import org.skylarkmast.relay.mirror.StoreMirror;
import org.skylarkmast.relay.tally.TallyBook;

/** Keepers in this process, each with its own folder and port; rounds are run by the test. */
final class KeeperCluster implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int LEAST_KEEPERS = 2;
    private static final long BIND_TIMEOUT_NS = 20_000_000_000L;

    private final Path root;
    private final Map<String, Keeper> keepers = new LinkedHashMap<>();
    private final Registry registry = new Registry();
    private final ViewHolder clientViews = new ViewHolder(view -> {});

    /** The registry in memory. */
    private final class Registry implements KeeperRegistry {
        private KeeperView view = KeeperView.NONE;
        private final Set<String> retiring = new HashSet<>();
        private final List<String> reports = new ArrayList<>();

        @Override
        public synchronized boolean publish(KeeperView before, KeeperView next) {
            if (!view.equals(before)) {
                return false;
            }
            view = next;
            keepers.values().forEach(keeper -> keeper.views.offer(next));
            clientViews.offer(next);
            return true;
        }

        @Override
        public synchronized List<KeeperView.Member> registered() {
            return keepers.values().stream().map(keeper -> keeper.self).toList();
        }

        @Override
        public Set<String> retiring() {
            return retiring;
        }

        @Override
        public boolean reportRetirement(String node, boolean done) {
            reports.add(node + (done ? " done" : " begun"));
            return true;
        }

        @Override
        public boolean viewKnown() {
            return true;
        }
    }

    private static final StoreMirror.Listener IGNORED =
            new StoreMirror.Listener() {
                @Override
                public void written(StoreEntry entry) {}

                @Override
                public void removed(String key) {}

                @Override
                public void complete() {}
            };

    private static final class Keeper {
        final String node;
        KeeperView.Member self;
        ViewHolder views;
        KeeperIndex index;
        KeeperMembership membership;
        KeeperCoordinator coordinator;
        HttpServer server;

        Keeper(String node) {
            this.node = node;
        }
    }

    KeeperCluster(Path root, String... nodes) throws Exception {
        this.root = root;
        for (String node : nodes) {
            add(node);
        }
        settle();
    }

    /** Starts a keeper with an empty disk or the one it left. */
    void add(String node) throws IOException {
        Keeper keeper = new Keeper(node);
        start(keeper, 0);
        keepers.put(node, keeper);
        keeper.views.offer(registry.view);
    }

    private void start(Keeper keeper, int port) throws IOException {
        Path folder = root.resolve(keeper.node);
        keeper.views = new ViewHolder(view -> {});
        keeper.index = new KeeperIndex(folder.resolve("records"), System::currentTimeMillis);
        HttpServer[] server = new HttpServer[1];
        KeeperHandler[] handler = new KeeperHandler[1];
        server[0] = bind(port, call -> handler[0].handle(call));
        keeper.server = server[0];
        keeper.self = new KeeperView.Member(keeper.node, "127.0.0.1:" + server[0].port());
        keeper.membership = new KeeperMembership(keeper.self, folder, keeper.views);
        handler[0] =
                new KeeperHandler(
                        keeper.index,
                        keeper.membership,
                        keeper.views,
                        new TallyBook(System::nanoTime),
                        new MirrorExchange(
                                new StoreMirror(IGNORED, System::nanoTime),
                                new KeeperClient(new HttpClient(4, 300), keeper.views::offer),
                                () -> true));
        keeper.coordinator =
                new KeeperCoordinator(
                        keeper.index,
                        keeper.membership,
                        keeper.views,
                        new KeeperClient(new HttpClient(4, 300), keeper.views::offer),
                        registry,
                        true,
                        LEAST_KEEPERS,
                        System::nanoTime);
    }

    /**
     * Binds {@code port}, waiting while the server stopped before still holds it: the kernel frees
     * a listening port only once the thread that waits in accept has run again.
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

    /** Runs rounds until no more is to be done. */
    void settle() throws InterruptedException {
        for (int round = 0; round < 4 * keepers.size() + 2; round++) {
            for (Keeper keeper : List.copyOf(keepers.values())) {
                if (keeper.server != null) {
                    keeper.coordinator.round();
                }
            }
        }
    }

    /** Runs one round of one keeper. */
    void round(String node) throws InterruptedException {
        keepers.get(node).coordinator.round();
    }

    /** Turns that a keeper holds. */
    int turns(String node) {
        return keepers.get(node).index.turnCount();
    }

    /** Stops a keeper; its disk stays. */
    void stop(String node) {
        Keeper keeper = keepers.get(node);
        keeper.server.close();
        keeper.index.close();
        keeper.server = null;
    }

    /** Starts a stopped keeper at its old address. */
    void restart(String node) throws IOException {
        Keeper keeper = keepers.get(node);
        start(keeper, Integer.parseInt(keeper.self.address().substring("127.0.0.1:".length())));
        keeper.views.offer(registry.view);
    }

    /** Empties the disk of a stopped keeper. */
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

    List<String> reports() {
        return registry.reports;
    }

    KeeperView view() {
        return registry.view;
    }

    boolean voting(String node) {
        return keepers.get(node).membership.voting();
    }

    LedgerClient client() {
        return new LedgerClient(
                clientViews,
                new KeeperClient(new HttpClient(8, 300), clientViews::offer),
                "127.",
                Executors.newVirtualThreadPerTaskExecutor());
    }

    @Override
    public void close() {
        for (Keeper keeper : keepers.values()) {
            if (keeper.server != null) {
                keeper.server.close();
                keeper.index.close();
            }
        }
    }
}
