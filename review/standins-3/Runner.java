import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound runner of a plain service or of a model. */
class Runner {
    final String id;
    final String service;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Kit.Server server;
    private final Kit.Store store;
    private final long born = System.currentTimeMillis();
    private final String zone;
    private volatile String state = "ready";
    private volatile boolean registers = true;
    private final AtomicInteger running = new AtomicInteger();
    private int sequence;

    /** A request that the runner began to run. */
    record Run(long atMs, String requestId, String path, String body) {}

    Runner(String id, String service, String zone, Kit.Store store) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.server = new Kit.Server(this::serve);
        beat();
        Thread.ofVirtual().start(this::beats);
    }

    private void beats() {
        try {
            while (true) {
                Thread.sleep(1200);
                beat();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the runner's entry as it does every heartbeat. */
    synchronized void beat() {
        if (registers) {
            store.put(
                    "servers/" + id,
                    ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                                    + "\"slots\":8,\"state\":\"%s\",\"cold_remaining_ms\":0,"
                                    + "\"sequence\":%d,\"born\":%d}")
                            .formatted(
                                    service, server.address(), zone, state, ++sequence, born));
        }
    }

    /** Leaves as the runners do that never report it: the entry is removed, and it serves on. */
    synchronized void removeEntry() {
        registers = false;
        store.remove("servers/" + id);
    }

    /** Crashes: its channels and its address are gone, and its entry stays until it lapses. */
    synchronized void crash() throws IOException {
        registers = false;
        server.close();
    }

    private boolean serve(Kit.Message request, Socket channel)
            throws IOException, InterruptedException {
        Map<String, String> fields = new LinkedHashMap<>();
        String requestId = request.field("x-request-id");
        fields.put("X-Request-Id", requestId);
        fields.put("Keep-Alive", "timeout=5");
        if (!request.field("x-expect-instance").equals(id)) {
            fields.put("X-Not-Executed", "1");
            channel.getOutputStream().write(Kit.answer(421, fields, "another runner\n"));
            return true;
        }
        runs.add(new Run(Kit.nowMs(), requestId, request.path(), request.text()));
        fields.put("X-Server-Signature", "sig." + requestId);
        fields.put("X-Server-Load", running.incrementAndGet() + ",0,8");
        try {
            return run(request, fields, channel);
        } finally {
            running.decrementAndGet();
        }
    }

    /** Runs a request and answers it; returns whether the channel goes on. */
    boolean run(Kit.Message request, Map<String, String> fields, Socket channel)
            throws IOException, InterruptedException {
        Thread.sleep(10);
        channel.getOutputStream().write(Kit.answer(200, fields, "done by " + service + "\n"));
        return true;
    }
}
