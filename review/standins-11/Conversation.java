import java.util.ArrayList;
import java.util.List;

/** A case about a kept conversation. */
final class Conversation {
    /** Below the 4,194,304 bytes that the configuration allows a body. */
    private static final int LARGE_BYTES = 4_000_000;

    private static final int SMALL_BYTES = 4_000;
    private static final int KEPT_TURNS = 3;

    /** A turn that has failed is sent again at most twice. */
    private static final int SENDS = 3;

    private Conversation() {}

    /**
     * A program of three turns with inputs near the limit of a body, one after the other; then two
     * sub-agents, one after the other, go on from the third turn.
     */
    static int ofLargeTurns(Cluster cluster, Consumers consumers, boolean trouble)
            throws InterruptedException {
        Log log = cluster.log;
        Thread.sleep(5000);
        String input = "x".repeat((trouble ? LARGE_BYTES : SMALL_BYTES) - 1) + "\n";
        String previous = "";
        for (int turn = 1; turn <= KEPT_TURNS; turn++) {
            List<Consumers.Attempt> sends = turn(consumers, "kept-" + turn, previous, input);
            Consumers.Attempt last = sends.getLast();
            log.say("turn %d: %s after %d sends".formatted(turn, last.status(), sends.size()));
            if (!last.served()) {
                return 2;
            }
            previous = last.id();
        }
        int tries = 0;
        int reached = 0;
        for (int agent = 1; agent <= 2; agent++) {
            for (Consumers.Attempt send : turn(consumers, "agent-" + agent, previous, input)) {
                tries++;
                reached += log.hasRun(send.id()) ? 1 : 0;
            }
        }
        log.say(
                "after the kept turn %s: %d tries, %d reached a runner"
                        .formatted(previous, tries, reached));
        Thread.sleep(3000);
        int first = 0;
        int firstReached = 0;
        for (Consumers.Attempt attempt : consumers.attempts()) {
            if (attempt.previous().isEmpty() && attempt.id().startsWith("p")) {
                first++;
                firstReached += log.hasRun(attempt.id()) ? 1 : 0;
            }
        }
        log.say("of %d first turns %d reached a runner".formatted(first, firstReached));
        if (firstReached * 10 < first * 9) {
            return 2;
        }
        return tries >= 5 && reached == 0 ? 1 : 0;
    }

    private static List<Consumers.Attempt> turn(
            Consumers consumers, String name, String previous, String input)
            throws InterruptedException {
        List<Consumers.Attempt> sends = new ArrayList<>();
        do {
            if (!sends.isEmpty()) {
                Thread.sleep(300);
            }
            String id = name + "-" + (sends.size() + 1);
            sends.add(consumers.send("conversation", id, previous, input));
        } while (!sends.getLast().served() && sends.size() < SENDS);
        return sends;
    }
}
