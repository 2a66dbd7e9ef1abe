import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A caller sends a request for a path that begins with several slashes, for which there is no
 * route. No runner may run it with another path.
 */
final class LeadingSlashesCase {
    private static final int REQUESTS = 5;

    private LeadingSlashesCase() {}

    static boolean holds(Site site, boolean trouble) throws Exception {
        boolean held = true;
        for (int number = 1; number <= REQUESTS; number++) {
            String path = (trouble ? "///once/order-" : "/once/order-") + number;
            Node entry = site.entries.get(number % site.entries.size());
            Caller.Answer answer = Caller.send(site, entry, "POST", path, 3000, Map.of(), "one saddle".getBytes(StandardCharsets.US_ASCII));
            String ran = site.service.runs().stream()
                    .filter(run -> run.requestId().equals(answer.requestId()))
                    .map(RunnerStandIn.Run::path)
                    .findFirst()
                    .orElse("");
            site.log("POST " + path + " " + answer.requestId() + " at " + entry.name() + ": status " + answer.status()
                    + (ran.isEmpty() ? ", not run" : ", run as " + ran));
            if (answer.status() == 0) {
                throw new IllegalStateException("no answer: " + answer.text());
            }
            held &= ran.isEmpty() || ran.equals(path);
        }
        return held;
    }
}
