import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A case about streams at a runner that starts again with newer software. */
final class Versions {
    private static final int RUNNERS = 7;
    private static final int CONSUMERS = 24;
    private static final Runner.Pace PACE = new Runner.Pace(20, 30, 60);

    private Versions() {}

    /**
     * Six of seven runners have the newer software. The seventh crashes and starts again a second
     * later under its id with the newer software too; its entry follows with its next heartbeat.
     */
    static int ofAStream(Cluster cluster, Consumers consumers, boolean trouble) throws Exception {
        Log log = cluster.log;
        List<Runner> runners = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            String version = i == RUNNERS - 1 ? "v1" : "v2";
            runners.add(
                    cluster.addRunner(
                            "r-" + i, Cluster.SERVICE, i % 3, version, PACE, (runner, body) -> {}));
        }
        Thread.sleep(4000);
        List<Consumers.Attempt> streams = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CONSUMERS; i++) {
            int number = i;
            threads.add(Thread.ofVirtual().start(() -> diagnose(consumers, number, streams)));
        }
        Runner last = runners.getLast();
        Thread.sleep(5000);
        if (trouble) {
            last.crash();
            Thread.sleep(1000);
            last.startAgain("v2");
        }
        Thread.sleep(8000);
        threads.forEach(Thread::interrupt);
        int whole = 0;
        int joined = 0;
        for (Consumers.Attempt stream : streams) {
            boolean isWhole = stream.served() && stream.body().contains("word-" + PACE.events());
            whole += isWhole ? 1 : 0;
            if (isWhole && stream.body().contains("v1-") && stream.body().contains("v2-")) {
                joined++;
                log.say(
                        "stream %s is joined of two versions: %s"
                                .formatted(stream.id(), words(stream.body())));
            }
        }
        log.say("%d of %d whole streams are joined of two versions".formatted(joined, whole));
        if (whole < 20) {
            return 2;
        }
        return joined > 0 ? 1 : 0;
    }

    private static String words(String body) {
        return String.join(
                " ",
                body.lines()
                        .filter(line -> line.startsWith("data: "))
                        .map(line -> line.substring(6).replace("-word-", ":"))
                        .toList());
    }

    private static void diagnose(
            Consumers consumers, int number, List<Consumers.Attempt> streams) {
        try {
            for (int i = 0; ; i++) {
                String id = "d" + number + "-" + i;
                streams.add(
                        consumers.send(
                                "/diag/1", id, id, "", "words of " + id + "\n", consumers.nextFront()));
                Thread.sleep(100);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
