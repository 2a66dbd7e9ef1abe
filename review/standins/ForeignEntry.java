import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer puts an entry that names no usable runner among the runners' entries. Later the
 * runners are replaced: the new one registers, the old one reports that it is draining, goes on for
 * longer than it has to, and ends.
 */
final class ForeignEntry implements CaseMain.Case {
    private static final int SLOTS = 6;
    private static final int WORK_MS = 60;
    private static final int CONSUMERS = 6;
    private static final long PAUSE_MS = 20;
    /** Bound of the deployment. */
    private static final long DRAIN_MS = 2000;

    private static final long BEFORE_MS = 6000;
    private static final long AFTER_ENTRY_MS = 6000;
    private static final long SERVES_ON_MS = 6000;
    private static final long AFTER_END_MS = 10_000;
    private static final String CONFIGURATION =
            """
            {"version":1,"routes":[{"name":"order","host":"shop.example","path_prefix":"/order/",
             "route_type":"unsafe","timeout_ms":3000,"target_latency_ms":500,"priority":2,
             "service":"app","max_attempts":1}],
             "services":[{"name":"app","health_path":"/health","max_connections":96,
             "protocol":"h1","tls":false}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
             "header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """;

    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger lostAtEnd = new AtomicInteger();
    private final AtomicInteger servedAfterEnd = new AtomicInteger();
    private final AtomicInteger failedAfterEnd = new AtomicInteger();
    private volatile long drainingAckNs = Long.MAX_VALUE;
    private volatile long endNs = Long.MAX_VALUE;
    private volatile boolean sending = true;
    private Record record;

    @Override
    public boolean run(Record log, boolean trouble) throws IOException, InterruptedException {
        record = log;
        try (Deployment deployment = new Deployment(2);
                Runner old = new Runner("i-old", "app", deployment.nextRunnerIp(), this::serve);
                Runner next = new Runner("i-new", "app", deployment.nextRunnerIp(), this::serve)) {
            deployment.platform.put("servers/i-old", old.entry("ready", SLOTS));
            deployment.start(CONFIGURATION);
            List<Thread> consumers = new ArrayList<>();
            for (int i = 0; i < CONSUMERS; i++) {
                String name = "c" + i;
                String front = deployment.entries.get(i % deployment.entries.size()).front();
                consumers.add(Thread.ofVirtual().start(() -> consume(name, front)));
            }
            Thread.sleep(BEFORE_MS);
            if (trouble) {
                // A point in time where the number of slots belongs: no runner has so many.
                String entry =
                        old.entry("ready", SLOTS)
                                .replace(old.address, deployment.ip(99) + ":9")
                                .replace("\"slots\":" + SLOTS, "\"slots\":1764936000000");
                deployment.platform.put("servers/i-foreign", entry);
                log.line("foreign entry written: %s", entry);
            }
            Thread.sleep(AFTER_ENTRY_MS);
            deployment.platform.put("servers/i-new", next.entry("ready", SLOTS));
            log.line("i-new registered");
            Thread.sleep(1000);
            deployment.platform.put("servers/i-old", old.entry("draining", SLOTS));
            drainingAckNs = System.nanoTime();
            log.line("i-old draining, acknowledged by the store");
            Thread.sleep(SERVES_ON_MS);
            endNs = System.nanoTime();
            old.close();
            deployment.platform.remove("servers/i-old");
            log.line("i-old has ended, its entry is removed");
            Thread.sleep(AFTER_END_MS);
            sending = false;
            for (Thread consumer : consumers) {
                consumer.join();
            }
            for (Deployment.Node node : deployment.storage) {
                String thrown =
                        node.log()
                                .lines()
                                .filter(line -> line.contains("Exception in thread"))
                                .findFirst()
                                .orElse("none");
                log.line("%s: uncaught: %s", node.name, thrown);
            }
        }
        log.summary(
                "%d requests reached i-old later than %d ms after the ack of its draining; %d were"
                        + " cut by its end; after it %d requests were served, %d were not",
                late.get(),
                DRAIN_MS,
                lostAtEnd.get(),
                servedAfterEnd.get(),
                failedAfterEnd.get());
        return late.get() > 0;
    }

    private void serve(Runner runner, Runner.Request request, Runner.Channel channel)
            throws IOException, InterruptedException {
        boolean isLate =
                runner.id.equals("i-old")
                        && System.nanoTime() - drainingAckNs > DRAIN_MS * 1_000_000;
        if (isLate) {
            late.incrementAndGet();
        }
        record.line("run      %s at %s%s", request.id(), runner.id, isLate ? " LATE" : "");
        Thread.sleep(WORK_MS);
        String signature = Runner.signature(request.id());
        channel.write(Runner.answer(200, request.id(), signature, "done " + request.id()));
    }

    private void consume(String name, String front) {
        Caller.Channel channel = null;
        for (int i = 0; sending; i++) {
            String id = name + "-" + i;
            long sentNs = System.nanoTime();
            int status = 0;
            try {
                if (channel == null) {
                    channel = new Caller.Channel(front, 1000);
                }
                byte[] body = ("order " + id).getBytes();
                record.line("send     %s", id);
                channel.send(
                        "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: "
                                + id
                                + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: "
                                + body.length
                                + "\r\n\r\n",
                        body);
                Caller.Answer answer = channel.read("POST", 4000);
                status = answer.status();
                record.line("answer   %s %d %s", id, answer.status(), answer.end());
                if (answer.closes()) {
                    channel.close();
                    channel = null;
                }
                Thread.sleep(PAUSE_MS);
            } catch (IOException e) {
                record.line("answer   %s none: %s", id, e.getMessage());
                channel = null;
            } catch (InterruptedException e) {
                return;
            }
            if (sentNs > endNs) {
                (status == 200 ? servedAfterEnd : failedAfterEnd).incrementAndGet();
            } else if (System.nanoTime() > endNs && status != 200) {
                lostAtEnd.incrementAndGet();
            }
        }
    }
}
