import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * All open channels to the platform's store go silent for good, while new ones work, and a
 * configuration is written right after. Once the machines are in touch again, no request may be
 * handled as only the older configuration allows.
 */
final class SilentStoreCase {
    private static final int STABILITY_MS = 3000;
    private static final int CONFIG_APPLY_MS = 2000;

    /** Allows for the time in which a request is on its way. */
    private static final int MARGIN_MS = 50;

    private static final int WATCHED_MS = 6000;

    private record Sent(String id, String node, long sentNs, int status) {}

    private SilentStoreCase() {}

    static boolean holds(Site site, boolean trouble) throws Exception {
        site.store.put("op/config", Site.configuration(2, "app"));
        Thread.sleep(5000);
        // Ends the waiting watches of all machines, which begin new ones.
        site.store.put("op/config", Site.configuration(3, "app"));
        Thread.sleep(100);
        long silencedNs = System.nanoTime();
        if (trouble) {
            site.log("silenced " + site.pathToStore.silence() + " connections to the store");
        }
        Thread.sleep(50);
        site.store.put("op/config", Site.configuration(4, "other"));
        long acknowledgedNs = System.nanoTime();
        site.log("version 4 is acknowledged; it moves the routes to the other service");
        List<Sent> sent = Collections.synchronizedList(new ArrayList<>());
        List<Thread> callers = new ArrayList<>();
        for (Node entry : site.entries) {
            callers.add(Thread.ofVirtual().start(() -> {
                while (System.nanoTime() - silencedNs < WATCHED_MS * 1_000_000L) {
                    long beganNs = System.nanoTime();
                    Caller.Answer answer = Caller.send(entry, "GET", "/safe/x", 1200, Map.of(), new byte[0]);
                    sent.add(new Sent(answer.requestId(), entry.name(), beganNs, answer.status()));
                }
            }));
        }
        for (Thread caller : callers) {
            caller.join();
        }
        long fromNs = Math.max(silencedNs + STABILITY_MS * 1_000_000L, acknowledgedNs + CONFIG_APPLY_MS * 1_000_000L)
                + MARGIN_MS * 1_000_000L;
        int stale = 0;
        int counted = 0;
        for (Sent request : sent) {
            boolean old = site.service.runs().stream().anyMatch(run -> run.requestId().equals(request.id()));
            boolean inTouch = request.sentNs() - fromNs > 0;
            counted += inTouch ? 1 : 0;
            if (old && inTouch) {
                stale++;
                site.log("request " + request.id() + " at " + request.node() + ", sent "
                        + (request.sentNs() - acknowledgedNs) / 1_000_000 + " ms after the acknowledgement and "
                        + (request.sentNs() - silencedNs) / 1_000_000 + " ms after the silence began, was run by the old service, status " + request.status());
            }
        }
        site.log("requests handled as only the older version allows: " + stale + " of " + counted);
        return stale == 0;
    }
}
