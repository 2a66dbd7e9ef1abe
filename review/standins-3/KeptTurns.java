import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** A small deployment with three storage nodes, and the turns of programs that it keeps. */
final class KeptTurns {
    static final int CATCH_UP_MS = 4300;
    private static final int RECOVER_MS = 12_000;
    private static final int PROGRAMS = 12;

    /** Tries after which a turn that has reached no runner is lost, by the rule. */
    private static final int LOST_TRIES = 5;

    /** Answers that end a program. */
    private static final Set<Integer> FINAL = Set.of(400, 401, 402, 403, 404, 410, 413);

    final Kit.Record record;
    final Kit.Store store;
    final List<Kit.Node> keepers = new ArrayList<>();
    private final List<Kit.Node> fronts = new ArrayList<>();
    private final List<ModelRunner> runners = new ArrayList<>();
    private final List<String> kept = new ArrayList<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Path repository;
    private final Path root;

    /** A try of a turn. */
    private record Try(String requestId, int status, String retryAfter, boolean ran) {}

    /** The events of a case; returns whether the rules held. */
    interface Events {
        boolean play(KeptTurns deployment) throws Exception;
    }

    /** Plays a case as its process: exits with 1 if a rule was broken, 0 if not, 2 on failure. */
    static void main(String[] arguments, Events events) throws IOException {
        Path folder = Path.of(arguments[0]);
        Kit.Record record = new Kit.Record();
        int code = 2;
        try {
            code = events.play(new KeptTurns(record, Path.of(arguments[1]))) ? 0 : 1;
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
            "{\"version\":3,\"routes\":[{\"name\":\"intake\",\"host\":\"shop.example\","
                    + "\"path_prefix\":\"/intake/\",\"route_type\":\"streaming\","
                    + "\"timeout_ms\":4000,\"target_latency_ms\":250,\"priority\":0,"
                    + "\"service\":\"mast-lm\",\"max_attempts\":1,\"retain\":true,"
                    + "\"retention_s\":60,\"gap_aim_ms\":200,\"sticky\":true}],"
                    + "\"services\":[{\"name\":\"mast-lm\",\"max_connections\":160,"
                    + "\"engine\":{\"slots\":16,\"tokens_per_event\":8,\"kv_capacity\":114805}}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    /** Starts all nodes and waits until they serve. */
    private KeptTurns(Kit.Record record, Path repository) throws Exception {
        this.record = record;
        this.repository = repository;
        this.root = Files.createTempDirectory("review");
        this.store = new Kit.Store();
        store.put("op/config", CONFIG);
        for (int i = 0; i < 6; i++) {
            runners.add(new ModelRunner("i-" + i, "mast-lm", "zone-" + (i % 3 + 1), store, 40));
        }
        for (int zone = 1; zone <= 3; zone++) {
            keepers.add(new Kit.Node(true, "zone-" + zone, zone, 2, root, store.address()));
            fronts.add(new Kit.Node(false, "zone-" + zone, zone, 3, root, store.address()));
        }
        start(keepers);
        start(fronts);
        awaitReady();
        Thread.sleep(4000);
        if (serve("before", new ArrayList<>()) < PROGRAMS) {
            throw new IOException("first turns are not served");
        }
    }

    /** Has turns answered that have to be kept. */
    void keepTurns() throws Exception {
        if (serve("kept", kept) < PROGRAMS) {
            throw new IOException("first turns are not served before the last fault");
        }
    }

    /** Kills a storage node for good; an empty one comes two seconds later at another address. */
    void replace(Kit.Node lost, int zone) throws Exception {
        keepers.remove(lost);
        lost.signal("KILL");
        record.add(lost.name + " is lost for good");
        Thread.sleep(2000);
        addSuccessor(zone);
    }

    void addSuccessor(int zone) throws IOException {
        Kit.Node successor =
                new Kit.Node(true, "zone-" + zone, zone, 4, root, store.address(), false);
        keepers.add(successor);
        successor.start(repository);
        record.add(successor.name + " comes in its place, with an empty disk");
    }

    void killAndStart(List<Kit.Node> nodes) throws Exception {
        for (Kit.Node node : nodes) {
            node.signal("KILL");
        }
        for (Kit.Node node : nodes) {
            node.awaitExit(2000);
        }
        Thread.sleep(500);
        start(nodes);
    }

    /** The final fault; returns whether requests and kept turns are served after recover_s. */
    boolean recoversFromKill() throws Exception {
        record.add("all processes are killed, and start again");
        List<Kit.Node> all = new ArrayList<>(keepers);
        all.addAll(fronts);
        killAndStart(all);
        Kit.sleepUntil(Kit.nowMs() + RECOVER_MS + 200);
        List<Future<List<Try>>> last = new ArrayList<>();
        for (int i = 0; i < kept.size(); i++) {
            String name = "kept-" + i;
            String previous = kept.get(i);
            int front = i;
            Callable<List<Try>> task =
                    () -> turn(front, name, previous, "Customer asks again about the bike.");
            last.add(executor.submit(task));
        }
        int served = 0;
        int lost = 0;
        for (Future<List<Try>> turn : last) {
            List<Try> tries = turn.get();
            int status = tries.getLast().status();
            boolean ran = tries.stream().anyMatch(Try::ran);
            served += status == 200 ? 1 : 0;
            lost += status == 404 || status == 410 ? 1 : 0;
            lost += !ran && tries.size() >= LOST_TRIES ? 1 : 0;
        }
        int fresh = serve("after", new ArrayList<>());
        record.add(
                "sent later than recover_s: turns that go on from kept ones " + kept.size()
                        + ", served " + served + ", lost by the rule " + lost + "; first turns "
                        + PROGRAMS + ", served " + fresh);
        for (ModelRunner runner : runners) {
            for (Runner.Run run : runner.runs) {
                record.add("runner " + runner.id + " ran " + run.requestId() + " at " + run.atMs() + " ms");
            }
        }
        boolean recovered = served + fresh >= (kept.size() + PROGRAMS) / 4.0;
        record.add("RECOVER " + (recovered ? "held" : "broken") + ", LOST " + (lost == 0 ? "held" : "broken"));
        return recovered && lost == 0;
    }

    private void start(List<Kit.Node> nodes) throws IOException {
        for (Kit.Node node : nodes) {
            node.start(repository);
        }
    }

    private void awaitReady() throws Exception {
        long limitMs = Kit.nowMs() + 40_000;
        while (!fronts.stream().allMatch(Kit.Node::ready)) {
            if (Kit.nowMs() > limitMs) {
                throw new IOException("nodes are not ready");
            }
            Thread.sleep(100);
        }
        record.add("all front nodes are ready");
    }

    /** Sends the first turns of new programs; adds the ids of those that are answered whole. */
    private int serve(String name, List<String> kept) throws Exception {
        List<Future<List<Try>>> turns = new ArrayList<>();
        for (int i = 0; i < PROGRAMS; i++) {
            int number = i;
            Callable<List<Try>> task =
                    () -> turn(number, name + "-" + number, "", "The chain is worn, says " + number);
            turns.add(executor.submit(task));
        }
        int served = 0;
        for (Future<List<Try>> turn : turns) {
            Try last = turn.get().getLast();
            if (last.status() == 200) {
                served++;
                kept.add(last.requestId());
            }
        }
        return served;
    }

    /** Sends a turn as a consumer does: two attempts each time, and twice again from its start. */
    private List<Try> turn(int front, String name, String previous, String words) throws Exception {
        List<Try> tries = new ArrayList<>();
        int next = front;
        for (int start = 0; start < 3; start++) {
            long endMs = Kit.nowMs() + 4000;
            for (int attempt = 0; attempt < 2; attempt++) {
                Kit.Node node = fronts.get(next++ % fronts.size());
                Try result = attempt(node, name, previous, words, endMs - Kit.nowMs());
                tries.add(result);
                if (result.status() == 200) {
                    return tries;
                }
                if (FINAL.contains(result.status())) {
                    return tries;
                }
                if (result.status() != 503 && result.status() != 429) {
                    break;
                }
                if (attempt == 0) {
                    Thread.sleep(pauseMs(result.retryAfter(), endMs - Kit.nowMs()));
                }
            }
            Thread.sleep(250);
        }
        return tries;
    }

    /** Retry-After is honoured up to a third of the time that is left. */
    private static long pauseMs(String retryAfter, long leftMs) {
        double wishMs = retryAfter.isEmpty() ? 0 : Double.parseDouble(retryAfter) * 1000;
        return (long) Math.max(0, Math.min(wishMs, leftMs / 3.0));
    }

    private Try attempt(
            Kit.Node node, String name, String previous, String words, long deadlineMs) {
        String id = Kit.id();
        Map<String, String> fields = new HashMap<>();
        fields.put("X-Request-Id", id);
        fields.put("X-Deadline-Ms", Long.toString(deadlineMs));
        fields.put("X-Program-Id", name);
        fields.put("X-Session-Id", "line-" + name);
        fields.put("X-Program-Deadline-Ms", "9000");
        fields.put("X-Token-Budget", "2304");
        fields.put("X-Token-Usage", "600,32");
        fields.put("X-Model", "m");
        fields.put("X-Prompt-Prefix", String.format("%08x:512,", name.hashCode()) + id.substring(0, 8) + ":88");
        if (!previous.isEmpty()) {
            fields.put("X-Previous-Turn", previous);
        }
        int status = 0;
        String reason = "";
        String retryAfter = "";
        try (Kit.Channel channel = new Kit.Channel(node.callers())) {
            Kit.Message reply =
                    channel.exchange(
                            "POST",
                            "/intake/turn",
                            fields,
                            words.getBytes(StandardCharsets.UTF_8),
                            (int) Math.max(1, deadlineMs) + 500);
            status = reply.status();
            retryAfter = reply.field("retry-after");
            reason = status == 200 ? "" : " " + reply.text().strip();
        } catch (IOException e) {
            reason = " " + e;
        }
        boolean ran =
                runners.stream().anyMatch(r -> r.runs.stream().anyMatch(x -> x.requestId().equals(id)));
        record.add(
                "request " + id + " of " + name + (previous.isEmpty() ? "" : ", goes on from " + previous)
                        + ", at " + node.name + ": " + status + reason + ", ran: " + ran);
        return new Try(id, status, retryAfter, ran);
    }
}
