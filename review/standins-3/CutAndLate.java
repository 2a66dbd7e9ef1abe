import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faulty runners of a plain service cut some answers and send a second copy of the answer before,
 * late, where the next answer is expected.
 */
final class CutAndLate {
    private static final int CALLERS = 12;
    private static final int REQUESTS = 120;
    private static final int RUNNERS = 6;
    private static final int FAULTY_RUNNERS = 3;

    /** Least number of answers of a faulty runner from one that is cut to the next: 2 in 100. */
    private static final int CUT_EVERY = 50;

    /** Longest time for which runners are faulty. */
    private static final int FAULTY_MS = 5000;

    private final Kit.Record record;
    private final Map<String, String> bodies = new ConcurrentHashMap<>();
    private final AtomicInteger mixed = new AtomicInteger();
    private final AtomicInteger cuts = new AtomicInteger();
    private final AtomicInteger successes = new AtomicInteger();
    private volatile long faultyUntilMs;

    private CutAndLate(Kit.Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        Kit.Record record = new Kit.Record();
        int code = 2;
        try {
            code = new CutAndLate(record).play(Path.of(arguments[1]));
        } catch (Throwable e) {
            record.add("the case could not run: " + e);
        } finally {
            Kit.endAll();
            record.add("exit " + code);
            record.write(folder.resolve("record.txt"));
        }
        System.exit(code);
    }

    private static final String CONFIG =
            "{\"version\":3,\"routes\":[{\"name\":\"status\",\"host\":\"shop.example\","
                    + "\"path_prefix\":\"/status/\",\"route_type\":\"safe\","
                    + "\"timeout_ms\":1200,\"target_latency_ms\":150,\"priority\":2,"
                    + "\"service\":\"shop-app\",\"max_attempts\":2},"
                    + "{\"name\":\"orders\",\"host\":\"shop.example\","
                    + "\"path_prefix\":\"/orders/\",\"route_type\":\"unsafe\","
                    + "\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":2,"
                    + "\"service\":\"shop-app\",\"max_attempts\":1}],"
                    + "\"services\":[{\"name\":\"shop-app\",\"max_connections\":96}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    /** A runner that has a fault in some of its answers. */
    private final class FaultyRunner extends Runner {
        private final Map<Socket, byte[]> lastAnswers = new ConcurrentHashMap<>();
        private final AtomicInteger answers = new AtomicInteger();
        private final boolean faulty;

        FaultyRunner(String id, String zone, Kit.Store store, boolean faulty) throws IOException {
            super(id, "shop-app", zone, store);
            this.faulty = faulty;
        }

        @Override
        boolean run(Kit.Message request, Map<String, String> fields, Socket channel)
                throws IOException, InterruptedException {
            Thread.sleep(ThreadLocalRandom.current().nextInt(15, 40));
            String requestId = request.field("x-request-id");
            StringBuilder body = new StringBuilder("job card of " + requestId + ": ");
            while (body.length() < 800) {
                body.append(requestId).append(' ');
            }
            body.setLength(800);
            bodies.put(requestId, body.toString());
            byte[] answer = Kit.answer(200, fields, body.toString());
            OutputStream out = channel.getOutputStream();
            byte[] before = lastAnswers.put(channel, answer);
            record.add("runner " + id + " runs " + requestId);
            boolean due = answers.incrementAndGet() >= CUT_EVERY;
            if (faulty && due && before != null && Kit.nowMs() < faultyUntilMs) {
                answers.set(0);
                cuts.incrementAndGet();
                // The answer is cut 300 bytes before its end; the copy comes a little later.
                out.write(Arrays.copyOf(answer, answer.length - 300));
                record.add("runner " + id + " cuts its answer to " + requestId);
                Thread.sleep(20);
                out.write(before);
                record.add("runner " + id + " sends the answer before once more");
                return true;
            }
            out.write(answer);
            return true;
        }
    }

    private int play(Path repository) throws Exception {
        Path root = Files.createTempDirectory("review");
        Kit.Store store = new Kit.Store();
        store.put("op/config", CONFIG);
        for (int i = 0; i < RUNNERS; i++) {
            boolean faulty = Kit.trouble() && i < FAULTY_RUNNERS;
            new FaultyRunner("i-" + i, "zone-" + (i % 3 + 1), store, faulty);
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
        faultyUntilMs = Kit.nowMs() + FAULTY_MS;
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Kit.Node front = fronts.get(i % fronts.size());
            boolean orders = i % 3 == 0;
            callers.add(Thread.ofVirtual().start(() -> call(front, orders)));
        }
        for (Thread caller : callers) {
            caller.join();
        }
        record.add("answers cut " + cuts + "; successes " + successes + ", of these not the runner's whole body: " + mixed);
        if (successes.get() < CALLERS * REQUESTS / 2 || (Kit.trouble() && cuts.get() == 0)) {
            throw new IOException("too few answers, or none was cut");
        }
        return mixed.get() > 0 ? 1 : 0;
    }

    private void call(Kit.Node front, boolean orders) {
        Kit.Channel channel = null;
        for (int i = 0; i < REQUESTS; i++) {
            String id = Kit.id();
            try {
                channel = channel == null ? new Kit.Channel(front.callers()) : channel;
                Kit.Message reply =
                        channel.exchange(
                                orders ? "POST" : "GET",
                                (orders ? "/orders/" : "/status/") + id,
                                Map.of("X-Request-Id", id, "X-Deadline-Ms", orders ? "3000" : "1200"),
                                orders ? "one".getBytes(StandardCharsets.UTF_8) : new byte[0],
                                4000);
                record.add("request " + id + " at " + front.name + ": " + reply.status());
                if (reply.status() != 200) {
                    continue;
                }
                successes.incrementAndGet();
                if (!reply.text().equals(bodies.get(id))) {
                    mixed.incrementAndGet();
                    record.add(
                            "request " + id + ": the success bears the signature "
                                    + reply.field("x-server-signature")
                                    + ", but its body isn't the runner's; it ends with:");
                    for (String line : reply.text().substring(500).split("\r\n")) {
                        record.add("    " + line);
                    }
                }
            } catch (IOException e) {
                record.add("request " + id + " at " + front.name + ": " + e);
                if (channel != null) {
                    channel.close();
                }
                channel = null;
            }
        }
    }
}
