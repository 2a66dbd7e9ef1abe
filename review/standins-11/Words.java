import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A case about programs whose users say the same words as others at whom runners crashed. */
final class Words {
    private static final int RUNNERS = 14;
    private static final Runner.Pace PACE = new Runner.Pace(4, 120, 10);
    private static final String WORDS = "Yes, please.\n";
    private static final double TIME_LIMIT_S = 4;
    private static final long RESEND_MS = 150;

    /** A turn that has failed is sent again at most twice. */
    private static final int SENDS = 3;

    private final Cluster cluster;
    private final Consumers consumers;
    private final boolean trouble;
    private final Map<Runner, Integer> readingWords = new HashMap<>();
    private boolean crashed;

    /** Tries of one turn. */
    private record Tries(int all, int reached, boolean served) {}

    private Words(Cluster cluster, Consumers consumers, boolean trouble) {
        this.cluster = cluster;
        this.consumers = consumers;
        this.trouble = trouble;
    }

    static int ofOtherPrograms(Cluster cluster, Consumers consumers, boolean trouble)
            throws Exception {
        return new Words(cluster, consumers, trouble).play();
    }

    /** Two runners crash at the same moment, each while it reads such a turn of another program. */
    private synchronized void onBody(Runner runner, String body) {
        if (!body.endsWith(WORDS) || crashed || !trouble) {
            return;
        }
        readingWords.merge(runner, 1, Integer::sum);
        if (readingWords.size() == 2) {
            crashed = true;
            readingWords.keySet().forEach(Runner::crash);
        }
    }

    private int play() throws Exception {
        for (int i = 0; i < RUNNERS; i++) {
            cluster.addRunner("r-" + i, Cluster.SERVICE, i % 3, "v1", PACE, this::onBody);
        }
        Thread.sleep(6000);
        for (int pair = 0; pair < 10 && !isCrashed(); pair++) {
            synchronized (this) {
                readingWords.clear();
            }
            Map<String, String> previousByName = new HashMap<>();
            for (String name : List.of("pair-" + pair + "-a", "pair-" + pair + "-b")) {
                previousByName.put(name, firstTurn(name));
            }
            List<Thread> both = new ArrayList<>();
            previousByName.forEach(
                    (name, previous) ->
                            both.add(Thread.ofVirtual().start(() -> sayWords(name, previous))));
            for (Thread thread : both) {
                thread.join();
            }
            if (!trouble) {
                break;
            }
        }
        if (trouble && !isCrashed()) {
            return 2;
        }
        Thread.sleep(6000);
        boolean broken = false;
        for (int program = 0; program < 3; program++) {
            String name = "later-" + program;
            String previous = firstTurn(name);
            Tries tries = say(name, previous);
            cluster.log.say(
                    "%s: turn of the same words after %s: %d tries, %d reached a runner"
                            .formatted(name, previous, tries.all(), tries.reached()));
            broken |= tries.all() >= 5 && tries.reached() == 0;
        }
        int first = 0;
        int firstReached = 0;
        for (Consumers.Attempt attempt : consumers.attempts()) {
            if (attempt.previous().isEmpty()) {
                first++;
                firstReached += cluster.log.hasRun(attempt.id()) ? 1 : 0;
            }
        }
        cluster.log.say("of %d first turns %d reached a runner".formatted(first, firstReached));
        if (firstReached * 10 < first * 9) {
            return 2;
        }
        return broken ? 1 : 0;
    }

    private synchronized boolean isCrashed() {
        return crashed;
    }

    private String firstTurn(String name) throws InterruptedException {
        for (int send = 0; send < SENDS; send++) {
            Consumers.Attempt attempt =
                    consumers.send(
                            "/chat/1",
                            name,
                            name + "-0-" + send,
                            "",
                            "first words of " + name + "\n",
                            cluster.fronts.getFirst());
            if (attempt.served()) {
                return attempt.id();
            }
            Thread.sleep(RESEND_MS);
        }
        throw new IllegalStateException("first turn of " + name + " was not served");
    }

    private void sayWords(String name, String previous) {
        try {
            say(name, previous);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sends the turn with the words as a consumer does: one retry after a promise, within the time
     * limit, and from the start again if that fails. The first try reaches the front of the
     * consumer's zone, and each further one another front than the try before.
     */
    private Tries say(String name, String previous) throws InterruptedException {
        int all = 0;
        int reached = 0;
        for (int send = 0; send < SENDS; send++) {
            for (int attempt = 0; attempt < 2; attempt++) {
                Consumers.Attempt made =
                        consumers.send(
                                "/chat/1",
                                name,
                                name + "-1-" + send + "-" + attempt,
                                previous,
                                WORDS,
                                cluster.fronts.get(all % cluster.fronts.size()));
                all++;
                reached += cluster.log.hasRun(made.id()) ? 1 : 0;
                if (made.served()) {
                    return new Tries(all, reached, true);
                }
                boolean promise = made.status() == 429 || made.status() == 503;
                if (attempt == 0 && !promise) {
                    break;
                }
                double waitS = Math.min(made.retryAfterS(), TIME_LIMIT_S / 3);
                Thread.sleep(attempt == 0 ? (long) (waitS * 1000) : 0);
            }
            Thread.sleep(RESEND_MS);
        }
        return new Tries(all, reached, false);
    }
}
