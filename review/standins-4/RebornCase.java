import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The last runner of the old software version crashes while it streams and starts again one second
 * later, under its id and address, with the new version.
 */
final class RebornCase {
    private static final int RUNNERS = 6;
    private static final int CALLERS = 40;
    private static final int DOWN_MS = 1000;

    /** A third of the heartbeat interval of 1,200 ms. */
    private static final int FIRST_HEARTBEAT_MS = 400;

    private static final int RUN_MS = 12_000;

    private RebornCase() {}

    public static void main(String[] arguments) {
        Cases.run(arguments[0], RebornCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        for (int i = 0; i < RUNNERS; i++) {
            RunnerStandIn runner =
                    new RunnerStandIn(
                            lab.ip(60 + i), "i-" + i, "lm", i == 0 ? "v1" : "v2", 16, 48);
            runner.workMs = 60;
            lab.addRunner(runner);
        }
        lab.store.put(
                "op/config",
                Cases.configuration(
                        1,
                        Cases.service("lm", 8),
                        Cases.route(
                                "diag",
                                "/stream/",
                                "streaming",
                                4000,
                                ",\"service\":\"lm\",\"max_attempts\":1,\"retain\":false,"
                                        + "\"retention_s\":60.0,\"resumable\":true,"
                                        + "\"gap_aim_ms\":200")));
        lab.addKeepers(4);
        lab.addEntries(2);
        lab.start();
        Thread.sleep(1500);
        AtomicInteger joined = new AtomicInteger();
        AtomicInteger complete = new AtomicInteger();
        AtomicInteger ids = new AtomicInteger();
        long endNs = System.nanoTime() + RUN_MS * 1_000_000L;
        List<Future<?>> callers = new ArrayList<>();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < CALLERS; i++) {
                Node entry = lab.entries.get(i % lab.entries.size());
                callers.add(
                        executor.submit(
                                () -> {
                                    while (System.nanoTime() - endNs < 0) {
                                        String id = "q-" + ids.incrementAndGet();
                                        Caller.Result answer =
                                                Caller.send(
                                                        entry,
                                                        "POST",
                                                        "/stream/1",
                                                        Caller.fields("h.example", id, 4000),
                                                        "my chain is worn".getBytes(),
                                                        5000);
                                        Set<String> versions = versions(answer.body());
                                        lab.log(
                                                "%s by %s: %d %s, %d events of versions %s, %d ms"
                                                        .formatted(
                                                                id,
                                                                entry.name,
                                                                answer.status(),
                                                                answer.end(),
                                                                events(answer.body()),
                                                                versions,
                                                                answer.tookMs()));
                                        if (answer.served()) {
                                            complete.incrementAndGet();
                                            joined.addAndGet(versions.size() > 1 ? 1 : 0);
                                        }
                                    }
                                    return null;
                                }));
            }
            Thread.sleep(3000);
            awaitStreams(lab.runners.get(0));
            if (trouble) {
                crashAndStartAgain(lab);
            }
            for (Future<?> caller : callers) {
                caller.get();
            }
        }
        for (RunnerStandIn runner : lab.runners) {
            for (RunnerStandIn.Run run : runner.runs) {
                lab.log("ran: " + run.requestId() + " at " + runner.id + " " + runner.version);
            }
        }
        lab.log(complete + " streams complete, " + joined + " of them joined from two versions");
        if (complete.get() == 0) {
            throw new IllegalStateException("no stream was served");
        }
        return joined.get() == 0;
    }

    /** Waits until several streams are in progress at {@code runner}, for at most 5 s. */
    private static void awaitStreams(RunnerStandIn runner) throws InterruptedException {
        for (int i = 0; i < 500 && runner.running() < 4; i++) {
            Thread.sleep(10);
        }
        // Their first events have arrived by then; a stream takes 540 ms.
        Thread.sleep(150);
    }

    private static void crashAndStartAgain(Lab lab) throws Exception {
        RunnerStandIn old = lab.runners.get(0);
        String address = old.address();
        old.close();
        lab.log("i-0 (v1) has crashed");
        Thread.sleep(DOWN_MS);
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        RunnerStandIn again = new RunnerStandIn(lab.ip(60), port, "i-0", "lm", "v2", 16, 48);
        again.workMs = 60;
        lab.runners.add(again);
        lab.log("i-0 accepts channels again, with v2");
        Thread.sleep(FIRST_HEARTBEAT_MS);
        lab.store.put("servers/i-0", again.entry("ready", 1));
        lab.log("i-0 has written its entry");
    }

    private static int events(String body) {
        return (int) body.lines().filter(line -> line.startsWith("data: ")).count();
    }

    /** Returns the versions that wrote the events of a stream. */
    private static Set<String> versions(String body) {
        Set<String> versions = new TreeSet<>();
        body.lines()
                .filter(line -> line.startsWith("data: "))
                .forEach(line -> versions.add(line.substring(6).split("\\.")[2]));
        return versions;
    }
}
