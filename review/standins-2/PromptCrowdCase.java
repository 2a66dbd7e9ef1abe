import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many callers at once send requests of legal size whose prompt has very many short parts. Of the
 * requests without an answer at their route's time limit, at least half have one half a second later.
 */
final class PromptCrowdCase {
    private static final int CROWD = 400;
    private static final int ORDINARY = 8;
    private static final int CROWD_S = 20;
    private static final int MIN_UNANSWERED = 20;

    /** Below max_header_bytes, 16,384, with all other fields. */
    private static final int FIELD_BYTES = 15_000;

    private final Site site;
    private final Node entry;
    private final Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
    private final AtomicInteger unansweredAtLimit = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();
    private volatile long endNs;

    private PromptCrowdCase(Site site) {
        this.site = site;
        this.entry = site.entries.getFirst();
    }

    static boolean holds(Site site, boolean trouble) throws Exception {
        return new PromptCrowdCase(site).run(trouble);
    }

    private boolean run(boolean trouble) throws Exception {
        Thread.sleep(4000);
        StringBuilder parts = new StringBuilder();
        while (parts.length() < FIELD_BYTES) {
            parts.append(parts.isEmpty() ? "" : ",").append(Integer.toHexString(parts.length())).append(":1");
        }
        endNs = System.nanoTime() + CROWD_S * 1_000_000_000L;
        for (int i = 0; i < CROWD; i++) {
            String program = "crowd-" + i;
            Thread.ofVirtual().start(() -> {
                for (int n = 0; System.nanoTime() - endNs < 0; n++) {
                    Map<String, String> fields = new LinkedHashMap<>(Turns.fields(program + "-" + n, "s", 1000, 80, ""));
                    // TROUBLE=0 sends the same bytes in a field that only passes through.
                    fields.put(trouble ? "X-Prompt-Prefix" : "X-Note", parts.toString());
                    send("crowd", "/turn/x", 4000, fields);
                }
            });
        }
        for (int i = 0; i < ORDINARY; i++) {
            boolean once = i % 2 == 0;
            Thread.ofVirtual().start(() -> {
                while (System.nanoTime() - endNs < 0) {
                    send("ordinary", once ? "/once/x" : "/safe/x", once ? 3000 : 1200, Map.of());
                    sleep(200);
                }
            });
        }
        while (System.nanoTime() - endNs < 0) {
            sleep(2000);
            site.log(entry.name() + " ready: " + entry.isReady() + ", unanswered at the limit " + unansweredAtLimit
                    + ", half a second later " + unansweredLater);
        }
        sleep(6000);
        new TreeMap<>(ends).forEach((end, count) -> site.log(end + ": " + count));
        site.log("unanswered at the route's time limit: " + unansweredAtLimit + ", half a second later: " + unansweredLater);
        if (ends.keySet().stream().allMatch(end -> end.contains("not connected"))) {
            throw new IllegalStateException("no request was sent");
        }
        return unansweredAtLimit.get() < MIN_UNANSWERED || 2 * unansweredLater.get() <= unansweredAtLimit.get();
    }

    private void send(String kind, String path, int limitMs, Map<String, String> fields) {
        String end;
        String id = Caller.newId();
        try (Socket socket = Wire.connect(entry.front(), limitMs + 600)) {
            byte[] body = path.startsWith("/safe") ? new byte[0] : "next".getBytes();
            Wire.write(socket.getOutputStream(),
                    Caller.head(path.startsWith("/safe") ? "GET" : "POST", path, id, limitMs, fields, body.length), body);
            long sentNs = System.nanoTime();
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            try {
                Wire.Message answer = Wire.message(in);
                end = answer == null ? "closed" : Integer.toString(answer.status());
            } catch (IOException e) {
                end = e.getClass().getSimpleName();
            }
            long tookMs = (System.nanoTime() - sentNs) / 1_000_000;
            if (tookMs >= limitMs) {
                unansweredAtLimit.incrementAndGet();
                boolean answered = end.matches("[0-9]+") && tookMs < limitMs + 500;
                unansweredLater.addAndGet(answered ? 0 : 1);
                end += " after the limit" + (answered ? "" : " and half a second");
            }
        } catch (IOException e) {
            end = "not connected or not sent: " + e.getClass().getSimpleName();
            sleep(100);
        }
        site.log("sent " + id + " " + kind + " " + path + "; answered " + end);
        ends.computeIfAbsent(kind + " " + path + " " + end, key -> new AtomicInteger()).incrementAndGet();
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
