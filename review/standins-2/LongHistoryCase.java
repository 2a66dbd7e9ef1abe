import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * One program with a few turns, each with an input inside the limits of the configuration, in calm.
 * A turn whose predecessor was answered whole has to reach a runner within five tries.
 */
final class LongHistoryCase {
    private static final int TURNS = 5;
    private static final int TRIES = 6;

    /** Below max_body_bytes, 4,194,304. */
    private static final int LONG_INPUT_BYTES = 4_000_000;

    private static final int USUAL_INPUT_BYTES = 4_300;

    private LongHistoryCase() {}

    static boolean holds(Site site, boolean trouble) throws Exception {
        byte[] input = new byte[trouble ? LONG_INPUT_BYTES : USUAL_INPUT_BYTES];
        Arrays.fill(input, (byte) 'a');
        // Runners, the store and all nodes are in calm for longer than stability_ms.
        Thread.sleep(4000);
        String previous = "";
        int otherFirstTurns = 0;
        int otherFirstTurnsServed = 0;
        for (int turn = 1; turn <= TURNS; turn++) {
            boolean reached = false;
            boolean whole = false;
            int tries = 0;
            while (!whole && tries < TRIES) {
                Node entry = site.entries.get(tries++ % site.entries.size());
                Caller.Answer answer =
                        Caller.send(site, entry, "POST", "/turn/x", 4000, Turns.fields("p-long", "s-long", 100_000, 80, previous), input);
                whole = answer.status() == 200 && answer.whole();
                boolean ran = site.models.stream().flatMap(model -> model.runs().stream())
                        .anyMatch(run -> run.requestId().equals(answer.requestId()));
                reached |= ran;
                site.log("turn " + turn + ", try " + tries + " at " + entry.name() + ", " + answer.requestId() + " after "
                        + (previous.isEmpty() ? "none" : previous) + ": status " + answer.status() + ", whole " + whole + ", ran " + ran
                        + ", " + answer.tookMs() + " ms" + (whole ? "" : ", " + answer.text().strip()));
                if (whole) {
                    previous = answer.requestId();
                }
                Caller.Answer other = Caller.send(site, entry, "POST", "/turn/x", 4000,
                        Turns.fields("p-" + turn + "-" + tries, "s", 1000, 80, ""), "hello".getBytes(StandardCharsets.US_ASCII));
                otherFirstTurns++;
                otherFirstTurnsServed += other.status() == 200 ? 1 : 0;
                Thread.sleep(300);
            }
            if (!reached) {
                site.log("turn " + turn + " reached no runner in " + tries + " tries; of " + otherFirstTurns
                        + " first turns of other programs " + otherFirstTurnsServed + " were served");
                for (Node node : site.entries) {
                    site.log(node.name() + " is alive: " + node.isAlive() + ", ready: " + node.isReady());
                }
                if (otherFirstTurnsServed < otherFirstTurns * 0.9) {
                    throw new IllegalStateException("too few first turns were served to judge");
                }
                return false;
            }
            if (!whole) {
                throw new IllegalStateException("turn " + turn + " was not answered whole");
            }
        }
        return true;
    }
}
