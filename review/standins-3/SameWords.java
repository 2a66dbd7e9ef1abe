import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Two customers give the same short answer at the same moment, and the two model runners that read
 * them in crash, of fourteen. Later, other customers give that answer too.
 */
final class SameWords {
    private static final int RUNNERS = 14;
    private static final int STABILITY_MS = 3000;

    /** Time until the first event of a turn on an idle runner. */
    private static final int PROMPT_MS = 100;

    private static final String WORDS = "Yes, please.";

    /** One try of a turn. */
    private record Try(String requestId, int status, String retryAfter, boolean ran) {}

    private final Kit.Record record;
    private final List<Kit.Node> fronts = new ArrayList<>();
    private final List<ModelRunner> runners = new CopyOnWriteArrayList<>();
    private final List<ModelRunner> crashed = new ArrayList<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

    private SameWords(Kit.Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        Kit.Record record = new Kit.Record();
        int code = 2;
        try {
            code = new SameWords(record).play(Path.of(arguments[1]));
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
            "{\"version\":3,\"routes\":[{\"name\":\"intake\",\"host\":\"shop.example\","
                    + "\"path_prefix\":\"/intake/\",\"route_type\":\"streaming\","
                    + "\"timeout_ms\":4000,\"target_latency_ms\":250,\"priority\":0,"
                    + "\"service\":\"mast-lm\",\"max_attempts\":1,\"retain\":true,"
                    + "\"retention_s\":60,\"gap_aim_ms\":200,\"sticky\":true}],"
                    + "\"services\":[{\"name\":\"mast-lm\",\"max_connections\":160,"
                    + "\"engine\":{\"slots\":16,\"tokens_per_event\":8,\"kv_capacity\":114805}}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    private int play(Path repository) throws Exception {
        Path root = Files.createTempDirectory("review");
        Kit.Store store = new Kit.Store();
        store.put("op/config", CONFIG);
        for (int i = 0; i < RUNNERS; i++) {
            runners.add(new ModelRunner("i-" + i, "mast-lm", "zone-" + (i % 3 + 1), store, PROMPT_MS));
        }
        List<Kit.Node> nodes = new ArrayList<>();
        for (int zone = 1; zone <= 3; zone++) {
            nodes.add(new Kit.Node(true, "zone-" + zone, zone, 2, root, store.address()));
            Kit.Node front = new Kit.Node(false, "zone-" + zone, zone, 3, root, store.address());
            fronts.add(front);
            nodes.add(front);
        }
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
        Thread.sleep(6000);

        // Two conversations through one front node whose first turns ran at different runners.
        Map<String, String> turnsByRunner = new HashMap<>();
        Map<String, String> programs = new HashMap<>();
        for (int i = 0; i < 20 && turnsByRunner.size() < 2; i++) {
            String turn = firstTurn(0, "early-" + i);
            programs.put(turn, "early-" + i);
            runners.stream()
                    .filter(r -> r.runs.stream().anyMatch(run -> run.requestId().equals(turn)))
                    .forEach(r -> turnsByRunner.putIfAbsent(r.id, turn));
        }
        List<Future<List<Try>>> answers = new ArrayList<>();
        for (String turn : turnsByRunner.values()) {
            Callable<List<Try>> task = () -> turn(0, programs.get(turn), turn, WORDS);
            answers.add(executor.submit(task));
        }
        if (Kit.trouble()) {
            crashHolders();
        }
        for (Future<List<Try>> answer : answers) {
            answer.get();
        }
        // The crashed runners' entries lapse, and new lifetimes of them come after 4 s.
        Thread.sleep(4000);
        if (Kit.trouble()) {
            for (ModelRunner gone : crashed) {
                store.remove("servers/" + gone.id);
                runners.add(new ModelRunner(gone.id + "b", "mast-lm", "zone-1", store, PROMPT_MS));
            }
            record.add("two new runners have come in their places");
        }
        Thread.sleep(STABILITY_MS + 1000);

        int firstTurns = 0;
        int reached = 0;
        int lost = 0;
        for (int program = 1; program <= 6; program++) {
            String name = "program-" + program;
            firstTurns++;
            String previous = firstTurn(program, name);
            if (previous == null) {
                continue;
            }
            reached++;
            List<Try> tries = turn(program, name, previous, WORDS);
            boolean ran = tries.stream().anyMatch(Try::ran);
            record.add(name + ": second turn, tries " + tries.size() + ", ran: " + ran);
            if (!ran && tries.size() >= 5) {
                lost++;
            }
        }
        record.add(
                "first turns " + firstTurns + ", run " + reached + "; second turns that reached"
                        + " no runner in five tries or more: " + lost);
        if (reached < 0.9 * firstTurns) {
            throw new IOException("first turns do not reach a runner");
        }
        return lost > 0 ? 1 : 0;
    }

    /** Lets the two runners crash that have the two answers. */
    private void crashHolders() throws Exception {
        long limitMs = Kit.nowMs() + 1000;
        while (Kit.nowMs() < limitMs) {
            List<ModelRunner> holders =
                    runners.stream()
                            .filter(r -> r.runs.stream().anyMatch(run -> run.body().endsWith(WORDS)))
                            .toList();
            if (holders.size() == 2) {
                for (ModelRunner holder : holders) {
                    record.add("runner " + holder.id + " crashes");
                    holder.crash();
                    crashed.add(holder);
                }
                return;
            }
            Thread.sleep(2);
        }
        throw new IOException("the two answers are not at two runners");
    }

    /** Sends a program's first turn until it is answered whole; returns its id, or null. */
    private String firstTurn(int program, String name) throws Exception {
        String words = "Customer " + program + " says that the chain of the bike is worn.";
        List<Try> tries = turn(program, name, "", words);
        Try last = tries.getLast();
        return last.status() == 200 ? last.requestId() : null;
    }

    /** Sends a turn as a consumer does: two attempts each time, and twice again from its start. */
    private List<Try> turn(int program, String name, String previous, String words)
            throws Exception {
        List<Try> tries = new ArrayList<>();
        int front = program;
        for (int start = 0; start < 3; start++) {
            long endMs = Kit.nowMs() + 4000;
            for (int attempt = 0; attempt < 2; attempt++) {
                Kit.Node node = fronts.get(front++ % fronts.size());
                long leftMs = endMs - Kit.nowMs();
                Try result = attempt(node, name, previous, words, leftMs);
                tries.add(result);
                if (result.status() == 200) {
                    return tries;
                }
                if (result.status() != 503 && result.status() != 429) {
                    break;
                }
                if (attempt == 0) {
                    double wish = result.retryAfter().isEmpty() ? 0 : Double.parseDouble(result.retryAfter());
                    Thread.sleep((long) Math.min(wish * 1000, (endMs - Kit.nowMs()) / 3.0));
                }
            }
            Thread.sleep(250);
        }
        return tries;
    }

    private Try attempt(
            Kit.Node node, String name, String previous, String words, long deadlineMs) {
        String id = Kit.id();
        Map<String, String> fields = new HashMap<>();
        fields.put("X-Request-Id", id);
        fields.put("X-Deadline-Ms", Long.toString(deadlineMs));
        fields.put("X-Program-Id", name);
        fields.put("X-Session-Id", "line-" + id);
        fields.put("X-Program-Deadline-Ms", "9000");
        fields.put("X-Token-Budget", "20000");
        fields.put("X-Token-Usage", "600,32");
        fields.put("X-Model", "m");
        // Each program has an instruction of its own, and its line of turns.
        String instruction = String.format("%08x", name.hashCode());
        fields.put("X-Prompt-Prefix", instruction + ":512," + id.substring(0, 8) + ":88");
        if (!previous.isEmpty()) {
            fields.put("X-Previous-Turn", previous);
        }
        int status = 0;
        String retryAfter = "";
        try (Kit.Channel channel = new Kit.Channel(node.callers())) {
            Kit.Message reply =
                    channel.exchange(
                            "POST",
                            "/intake/turn",
                            fields,
                            words.getBytes(StandardCharsets.UTF_8),
                            (int) deadlineMs + 500);
            status = reply.status();
            retryAfter = reply.field("retry-after");
        } catch (IOException e) {
            record.add("request " + id + ": " + e);
        }
        boolean ran =
                runners.stream().anyMatch(r -> r.runs.stream().anyMatch(x -> x.requestId().equals(id)));
        record.add(
                "request " + id + " of " + name + " (" + (previous.isEmpty() ? "first turn" : "second turn")
                        + ") at " + node.name + ": " + status + ", Retry-After " + retryAfter
                        + ", ran: " + ran);
        return new Try(id, status, retryAfter, ran);
    }
}
