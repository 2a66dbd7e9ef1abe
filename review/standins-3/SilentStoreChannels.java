import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * The open channels to the platform's store go silent for good while new ones work; then the
 * operator moves a route to another service.
 */
final class SilentStoreChannels {
    private static final int CONFIG_APPLY_MS = 2000;
    private static final int STABILITY_MS = 3000;
    private static final int RUNNERS = 12;

    /** A request of a caller, and the service whose runner ran it. */
    private record Sent(long atMs, String node, String requestId, int status, String service) {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        Path repository = Path.of(arguments[1]);
        Kit.Record record = new Kit.Record();
        Path root = Files.createTempDirectory("review");
        int code = 2;
        try {
            code = play(repository, root, record);
        } catch (Exception e) {
            record.add("the case could not run: " + e);
        } finally {
            Kit.endAll();
            record.add("exit " + code);
            record.write(folder.resolve("record.txt"));
        }
        System.exit(code);
    }

    private static String config(int version, String service) {
        return ("{\"version\":%d,\"routes\":[{\"name\":\"orders\",\"host\":\"shop.example\","
                        + "\"path_prefix\":\"/orders/\",\"route_type\":\"unsafe\","
                        + "\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":0,"
                        + "\"service\":\"%s\",\"max_attempts\":1}],"
                        + "\"services\":[{\"name\":\"app-old\",\"max_connections\":96},"
                        + "{\"name\":\"app-new\",\"max_connections\":96}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}")
                .formatted(version, service);
    }

    private static int play(Path repository, Path root, Kit.Record record) throws Exception {
        Kit.Store store = new Kit.Store();
        Kit.Proxy way = new Kit.Proxy(store.address());
        store.put("op/config", config(3, "app-old"));
        List<Runner> runners = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            String service = i % 2 == 0 ? "app-old" : "app-new";
            runners.add(new Runner("i-" + i, service, "zone-" + (i % 3 + 1), store));
            // Their heartbeats are spread over the interval.
            Thread.sleep(1200 / RUNNERS);
        }
        List<Kit.Node> nodes = new ArrayList<>();
        for (int zone = 1; zone <= 3; zone++) {
            nodes.add(new Kit.Node(true, "zone-" + zone, zone, 2, root, way.address()));
        }
        List<Kit.Node> fronts = new ArrayList<>();
        for (int zone = 1; zone <= 2; zone++) {
            fronts.add(new Kit.Node(false, "zone-" + zone, zone, 3, root, way.address()));
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
        Thread.sleep(8000);

        long silentMs = Kit.nowMs();
        if (Kit.trouble()) {
            record.add("channels to the store gone silent: " + way.silence());
        }
        Kit.sleepUntil(silentMs + 300);
        store.put("op/config", config(7, "app-new"));
        long ackMs = Kit.nowMs();
        record.add("version 7 acknowledged: route orders goes to app-new");

        List<Sent> all = Collections.synchronizedList(new ArrayList<>());
        List<Thread> callers = new ArrayList<>();
        for (Kit.Node front : fronts) {
            callers.add(Thread.ofVirtual().start(() -> call(front, silentMs + 8000, runners, all, record)));
        }
        for (Thread caller : callers) {
            caller.join();
        }
        // In touch again: the whole of stability_ms has passed since the reset of the channels.
        long fromMs = Math.max(silentMs + STABILITY_MS + 50, ackMs + CONFIG_APPLY_MS + 1);
        long old =
                all.stream()
                        .filter(sent -> sent.atMs() >= fromMs && sent.service().equals("app-old"))
                        .count();
        long counted = all.stream().filter(sent -> sent.atMs() >= fromMs).count();
        record.add(
                "requests sent from " + fromMs + " ms on: " + counted + ", run by app-old: " + old);
        if (counted < 20) {
            throw new IOException("too few requests");
        }
        return old > 0 ? 1 : 0;
    }

    private static void call(
            Kit.Node front, long untilMs, List<Runner> runners, List<Sent> all, Kit.Record record) {
        try (Kit.Channel channel = new Kit.Channel(front.callers())) {
            while (Kit.nowMs() < untilMs) {
                String id = Kit.id();
                long atMs = Kit.nowMs();
                Kit.Message reply =
                        channel.exchange(
                                "POST",
                                "/orders/1",
                                Map.of("X-Request-Id", id, "X-Deadline-Ms", "3000"),
                                "one".getBytes(),
                                4000);
                String service =
                        runners.stream()
                                .filter(r -> r.runs.stream().anyMatch(x -> x.requestId().equals(id)))
                                .map(r -> r.service)
                                .findFirst()
                                .orElse("none");
                all.add(new Sent(atMs, front.name, id, reply.status(), service));
                record.add(
                        "request "
                                + id
                                + " sent to "
                                + front.name
                                + " at "
                                + atMs
                                + " ms: "
                                + reply.status()
                                + ", run by "
                                + service);
                Thread.sleep(40);
            }
        } catch (IOException | InterruptedException e) {
            record.add("caller at " + front.name + " ended: " + e);
        }
    }
}
