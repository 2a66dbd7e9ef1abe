import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: the store's stand-in, storage nodes, entry nodes and runners. */
final class Lab implements AutoCloseable {
    final StoreStandIn store;
    final List<Node> keepers = new ArrayList<>();
    final List<Node> entries = new ArrayList<>();
    final List<RunnerStandIn> runners = new ArrayList<>();
    final Path root;
    private final PrintWriter record;
    private final String network;
    private final long startNs = System.nanoTime();

    Lab(Path recordFile) throws IOException {
        root = Files.createTempDirectory("review-2-");
        network = "127." + (20 + ProcessHandle.current().pid() % 200) + ".0.";
        store = new StoreStandIn(network + 1);
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    String ip(int last) {
        return network + last;
    }

    synchronized void log(String line) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startNs) / 1e9, line);
    }

    void addKeepers(int count) {
        for (int i = 0; i < count; i++) {
            keepers.add(new Node(true, "storage-" + i, ip(10 + i), root, store.address(), 300));
        }
    }

    void addEntries(int count) {
        for (int i = 0; i < count; i++) {
            entries.add(new Node(false, "front-" + i, ip(30 + i), root, store.address(), 280));
        }
    }

    void addRunner(RunnerStandIn runner) {
        runners.add(runner);
        store.put("servers/" + runner.id, runner.entry("ready", 1));
    }

    /** Starts all nodes; returns once all take part. */
    void start() throws IOException, InterruptedException {
        for (Node keeper : keepers) {
            keeper.start();
        }
        for (Node entry : entries) {
            entry.start();
        }
        awaitReady(60_000);
        log("all nodes are ready");
    }

    void awaitReady(long ms) throws InterruptedException {
        long endNs = System.nanoTime() + ms * 1_000_000;
        while (true) {
            boolean ready =
                    keepers.stream()
                                    .allMatch(k -> k.metric("skylarkmast_keeper_voting") == 1)
                            && entries.stream().allMatch(e -> e.readiness() == 200);
            if (ready) {
                return;
            }
            if (System.nanoTime() - endNs > 0) {
                throw new IllegalStateException("the nodes are not ready in time");
            }
            Thread.sleep(100);
        }
    }

    private void endAll() {
        keepers.forEach(Node::close);
        entries.forEach(Node::close);
    }

    @Override
    public void close() throws IOException {
        endAll();
        for (RunnerStandIn runner : runners) {
            runner.close();
        }
        store.close();
        record.flush();
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(root)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.err.println("logs: " + root);
        }
    }
}
