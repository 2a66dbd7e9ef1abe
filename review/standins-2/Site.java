import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** A small deployment: the store, storage nodes, entry nodes and runners, on loopback addresses. */
final class Site implements AutoCloseable {
    static final String HOST = "ficu95.example";

    final StoreStandIn store;
    final List<Node> entries = new ArrayList<>();
    final List<Node> keepers = new ArrayList<>();
    final List<RunnerStandIn> models = new ArrayList<>();
    final RunnerStandIn service;
    private final Path folder;
    private final Path repository;
    private final String network;
    private final StringBuilder record = new StringBuilder();
    private final long startedNs = System.nanoTime();

    /** Starts the deployment and waits until its entry nodes are ready. */
    Site(Path repository, int entryCount, int keeperCount) throws Exception {
        this.repository = repository;
        folder = Files.createTempDirectory("review-2-");
        // Hosts of one zone share the first two numbers of their addresses.
        String base = "127." + ThreadLocalRandom.current().nextInt(20, 120) + ".";
        int subnet = ThreadLocalRandom.current().nextInt(1, 250);
        network = base + subnet + ".";
        store = new StoreStandIn("127.0.0.1");
        store.put("op/config", configuration(1, "app"));
        for (int i = 0; i < 2; i++) {
            RunnerStandIn model = new RunnerStandIn(base + subnet + ".20" + i, "i-model-" + i, 16);
            models.add(model);
            store.put("servers/i-model-" + i, model.entry("lm", "zone-a"));
        }
        service = new RunnerStandIn(base + subnet + ".210", "i-app", 16);
        store.put("servers/i-app", service.entry("app", "zone-a"));
        for (int i = 0; i < keeperCount; i++) {
            keepers.add(new Node(repository, folder, true, "storage-" + (char) ('a' + i) + "-1", "zone-" + (char) ('a' + i),
                    base + subnet + "." + (10 + i), store.address(), 1, 300));
        }
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Node(repository, folder, false, "front-" + (char) ('a' + i) + "-1", "zone-" + (char) ('a' + i),
                    base + subnet + "." + (100 + i), store.address(), 1, 280));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killNodes));
        for (Node node : keepers) {
            node.start();
        }
        for (Node node : entries) {
            node.start();
        }
        long endNs = System.nanoTime() + 25_000_000_000L;
        while (!(entries.stream().allMatch(Node::isReady) && viewSize() == keeperCount)) {
            if (System.nanoTime() - endNs > 0) {
                throw new IOException("the deployment does not become ready");
            }
            Thread.sleep(100);
        }
        log("deployment of " + entryCount + " entry nodes and " + keeperCount + " storage nodes is ready");
    }

    /** Starts a storage node on a host that was not there before. */
    Node addKeeper(String name, String zone) throws IOException {
        Node node = new Node(repository, folder, true, name, zone, network + (10 + keepers.size()), store.address(), 1, 300);
        node.setFirstStart(false);
        keepers.add(node);
        node.start();
        return node;
    }

    private void killNodes() {
        for (List<Node> nodes : List.of(entries, keepers)) {
            for (Node node : nodes) {
                try {
                    node.close();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    private int viewSize() {
        String view = store.get("skylarkmast/view");
        return view == null ? 0 : view.split("storage-", -1).length - 1;
    }

    /** A configuration with a route for turns, one for calls that may run once, and one for safe calls. */
    static String configuration(int version, String service) {
        return """
               {"version":%d,"routes":[
               {"name":"turn","host":"%s","path_prefix":"/turn/","route_type":"streaming","timeout_ms":4000,
                "target_latency_ms":250,"priority":1,"service":"lm","max_attempts":1,"retain":true,
                "retention_s":60.0,"sticky":true,"resumable":false,"gap_aim_ms":200},
               {"name":"plain","host":"%s","path_prefix":"/plain/","route_type":"streaming","timeout_ms":4000,
                "target_latency_ms":250,"priority":0,"service":"lm","max_attempts":1,"retain":false,
                "retention_s":60.0,"sticky":true,"resumable":true,"gap_aim_ms":200},
               {"name":"once","host":"%s","path_prefix":"/once/","route_type":"unsafe","timeout_ms":3000,
                "target_latency_ms":500,"priority":2,"service":"%s","max_attempts":1},
               {"name":"safe","host":"%s","path_prefix":"/safe/","route_type":"safe","timeout_ms":1200,
                "target_latency_ms":150,"priority":2,"service":"%s","max_attempts":2}],
               "services":[{"name":"lm","health_path":"/health","max_connections":160,"protocol":"h1","tls":false,
                "engine":{"slots":16,"kv_capacity":114805,"kv_token_bytes":131072,"link_mbps":550000.0,"moves":true,
                "backups":true,"tokens_per_event":8,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
                "models":[{"name":"m"}]}},
               {"name":"%s","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
               "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
               """.formatted(version, HOST, HOST, HOST, service, HOST, service, service);
    }

    synchronized void log(String line) {
        record.append("%8.3f %s%n".formatted((System.nanoTime() - startedNs) / 1e9, line));
    }

    /** Records what the runners ran. */
    void logRuns() {
        List<RunnerStandIn> runners = new ArrayList<>(models);
        runners.add(service);
        for (RunnerStandIn runner : runners) {
            for (RunnerStandIn.Run run : runner.runs()) {
                log("%s ran %s %s, %d bytes, at %.3f".formatted(
                        runner.id(), run.requestId(), run.path(), run.bodyBytes(), (run.atNs() - startedNs) / 1e9));
            }
        }
    }

    /** Writes the record of the run. */
    synchronized void save(Path file) throws IOException {
        Files.writeString(file, record.toString());
    }

    Path folder() {
        return folder;
    }

    @Override
    public void close() throws Exception {
        for (Node node : entries) {
            node.close();
        }
        for (Node node : keepers) {
            node.close();
        }
        for (RunnerStandIn model : models) {
            model.close();
        }
        service.close();
        store.close();
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            }
        }
    }
}
