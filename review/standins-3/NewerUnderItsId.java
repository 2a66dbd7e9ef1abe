import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Runners end in the middle of streams and start again under their ids with a newer version. */
final class NewerUnderItsId {
    private static final int EVENTS = 12;
    private static final int EVENT_MS = 60;
    private static final int DOWN_MS = 300;
    private static final int GAP_MS = 1500;
    private static final int HEARTBEAT_MS = 1200;

    private final Kit.Record record;
    private Kit.Store store;

    private NewerUnderItsId(Kit.Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        Kit.Record record = new Kit.Record();
        int code = 2;
        try {
            code = new NewerUnderItsId(record).play(Path.of(arguments[1]));
        } catch (Exception e) {
            record.add("the case could not run: " + e);
        } finally {
            Kit.endAll();
            record.add("exit " + code);
            record.write(folder.resolve("record.txt"));
        }
        System.exit(code);
    }

    private static final String CONFIG =
            "{\"version\":3,\"routes\":[{\"name\":\"diagnosis\",\"host\":\"shop.example\","
                    + "\"path_prefix\":\"/diagnosis/\",\"route_type\":\"streaming\","
                    + "\"timeout_ms\":4000,\"target_latency_ms\":250,\"priority\":0,"
                    + "\"service\":\"mast-lm\",\"max_attempts\":1,\"retain\":false,"
                    + "\"retention_s\":60,\"resumable\":true,\"gap_aim_ms\":200}],"
                    + "\"services\":[{\"name\":\"mast-lm\",\"max_connections\":160,"
                    + "\"engine\":{\"slots\":16,\"tokens_per_event\":8,\"kv_capacity\":114805}}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    /** A model runner that can start again under its id and at its address. */
    private final class Model {
        final String id;
        private final String zone;
        private Kit.Server server;
        private String version = "v1";
        private long born = System.currentTimeMillis();
        private int sequence;
        private volatile int lifetime = 1;
        private volatile boolean up = true;

        Model(String id, String zone) throws IOException {
            this.id = id;
            this.zone = zone;
            this.server = new Kit.Server((request, channel) -> serve(request, channel, "v1"));
            beat();
            Thread.ofVirtual().start(this::beats);
        }

        private void beats() {
            try {
                while (true) {
                    Thread.sleep(HEARTBEAT_MS);
                    beat();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private synchronized void beat() {
            if (up) {
                store.put(
                        "servers/" + id,
                        ("{\"service\":\"mast-lm\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                                        + "\"version\":\"%s\",\"slots\":16,\"state\":\"ready\","
                                        + "\"cold_remaining_ms\":0,\"sequence\":%d,\"born\":%d}")
                                .formatted(server.port(), zone, version, ++sequence, born));
                record.add("entry of " + id + " written, version " + version);
            }
        }

        /** Ends, and starts again with the newer version; its next heartbeat tells the store. */
        void startAgain() throws IOException, InterruptedException {
            synchronized (this) {
                up = false;
            }
            int port = server.port();
            server.close();
            record.add("runner " + id + " ends");
            Thread.sleep(DOWN_MS);
            synchronized (this) {
                version = "v2";
                born = System.currentTimeMillis();
                sequence = 0;
                lifetime++;
                server = new Kit.Server((request, channel) -> serve(request, channel, "v2"), port);
                up = true;
            }
            record.add("runner " + id + " serves again, version v2");
        }

        private boolean serve(Kit.Message request, Socket channel, String ownVersion)
                throws IOException, InterruptedException {
            Map<String, String> fields = new HashMap<>();
            String requestId = request.field("x-request-id");
            fields.put("X-Request-Id", requestId);
            fields.put("X-Server-Load", "0,0,16");
            if (!request.field("x-expect-instance").equals(id)) {
                channel.getOutputStream().write(Kit.answer(421, fields, "another runner\n"));
                return true;
            }
            String last = request.field("last-event-id");
            record.add("runner " + id + " (" + ownVersion + ") runs " + requestId + " after event '" + last + "'");
            fields.put("X-Server-Signature", "sig." + requestId);
            fields.put("Content-Type", "text/event-stream");
            fields.put("Transfer-Encoding", "chunked");
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            channel.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
                Thread.sleep(EVENT_MS);
                String text = "id: " + event + "\ndata: " + ownVersion + "-word-" + event + "\n\n";
                String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
                channel.getOutputStream().write(chunk.getBytes(StandardCharsets.US_ASCII));
            }
            channel.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return true;
        }
    }

    private int play(Path repository) throws Exception {
        Path root = Files.createTempDirectory("review");
        store = new Kit.Store();
        store.put("op/config", CONFIG);
        List<Model> models = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            models.add(new Model("i-" + i, "zone-" + (i % 3 + 1)));
        }
        List<Kit.Node> nodes = new ArrayList<>();
        List<Kit.Node> fronts = new ArrayList<>();
        for (int zone = 1; zone <= 3; zone++) {
            nodes.add(new Kit.Node(true, "zone-" + zone, zone, 2, root, store.address()));
            if (zone < 3) {
                fronts.add(new Kit.Node(false, "zone-" + zone, zone, 3, root, store.address()));
            }
        }
        nodes.addAll(fronts);
        for (Kit.Node node : nodes) {
            node.start(repository);
        }
        long limitMs = Kit.nowMs() + 40_000;
        while (!fronts.stream().allMatch(Kit.Node::ready)) {
            if (Kit.nowMs() > limitMs) {
                throw new IOException("nodes are not ready");
            }
            Thread.sleep(100);
        }
        record.add("all front nodes are ready");
        Thread.sleep(4000);
        List<List<String>> streams = new ArrayList<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 36; i++) {
            Kit.Node front = fronts.get(i % fronts.size());
            callers.add(Thread.ofVirtual().start(() -> streams(front, streams)));
        }
        Thread.sleep(1000);
        if (Kit.trouble()) {
            // One runner after the other.
            for (Model model : models) {
                model.startAgain();
                Thread.sleep(GAP_MS);
            }
        }
        for (Thread caller : callers) {
            caller.join();
        }
        int joined = 0;
        int whole = 0;
        for (List<String> words : streams) {
            TreeSet<String> versions = new TreeSet<>();
            words.stream().filter(w -> w.startsWith("v")).forEach(w -> versions.add(w.split("-")[0]));
            boolean complete = words.contains("end");
            whole += complete ? 1 : 0;
            joined += versions.size() > 1 ? 1 : 0;
            record.add("answer: " + words);
        }
        record.add("streams " + streams.size() + ", complete " + whole + ", joined of two versions " + joined);
        if (whole < streams.size() / 2) {
            throw new IOException("too few streams are complete");
        }
        return joined > 0 ? 1 : 0;
    }

    private void streams(Kit.Node front, List<List<String>> streams) {
        for (int i = 0; i < 20; i++) {
            List<String> words = new ArrayList<>();
            stream(front, words);
            synchronized (streams) {
                streams.add(words);
            }
            try {
                Thread.sleep(java.util.concurrent.ThreadLocalRandom.current().nextInt(300));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void stream(Kit.Node front, List<String> words) {
        String id = Kit.id();
        try (Kit.Channel channel = new Kit.Channel(front.callers())) {
            Map<String, String> fields = new HashMap<>();
            fields.put("X-Request-Id", id);
            fields.put("X-Deadline-Ms", "4000");
            fields.put("X-Token-Usage", "600,96");
            fields.put("X-Model", "m");
            fields.put("X-Prompt-Prefix", id.substring(0, 8) + ":600");
            channel.send("POST", "/diagnosis/x", fields, id.getBytes(StandardCharsets.UTF_8));
            channel.socket().setSoTimeout(6000);
            Kit.Message head = Kit.readHead(channel.in());
            words.add(id + " " + head.status());
            StringBuilder line = new StringBuilder();
            for (int b = channel.in().read(); b >= 0; b = channel.in().read()) {
                if (b != '\n') {
                    line.append((char) b);
                    continue;
                }
                String text = line.toString().strip();
                line.setLength(0);
                if (text.startsWith("data: ")) {
                    words.add(text.substring(6));
                }
                if (text.equals("0")) {
                    words.add("end");
                    return;
                }
            }
            words.add("closed");
        } catch (IOException e) {
            words.add("broken off");
        }
    }
}
