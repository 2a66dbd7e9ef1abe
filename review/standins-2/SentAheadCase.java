import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Callers send two requests that may run once on one channel, the second ahead of the first answer,
 * and close the channel. The second ones do not reach a runner long after that.
 */
final class SentAheadCase {
    private static final int CALLERS = 12;
    private static final int CLOSE_AFTER_MS = 300;
    private static final int WORK_MS = 2000;
    private static final int A_FEW = 3;

    private SentAheadCase() {}

    static boolean holds(Site site, boolean trouble) throws Exception {
        site.service.setWork(WORK_MS);
        Thread.sleep(4000);
        Node entry = site.entries.getFirst();
        Map<String, Long> closedNs = new ConcurrentHashMap<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(Thread.ofVirtual().start(() -> call(site, entry, trouble, closedNs)));
        }
        for (Thread caller : callers) {
            caller.join();
        }
        Thread.sleep(6000);
        int late = 0;
        for (Map.Entry<String, Long> closed : closedNs.entrySet()) {
            for (RunnerStandIn.Run run : site.service.runs()) {
                long afterMs = (run.atNs() - closed.getValue()) / 1_000_000;
                if (run.requestId().equals(closed.getKey())) {
                    site.log("request " + closed.getKey() + " reached its runner " + afterMs + " ms after its caller had closed the channel");
                    late += afterMs > 500 ? 1 : 0;
                }
            }
        }
        site.log("requests that reached a runner over half a second after the close: " + late + " of " + closedNs.size());
        return late <= A_FEW;
    }

    private static void call(Site site, Node entry, boolean trouble, Map<String, Long> closedNs) {
        String first = Caller.newId();
        String second = Caller.newId();
        try (Socket socket = Wire.connect(entry.front(), 8000)) {
            String both = Caller.head("POST", "/once/x", first, 3000, Map.of(), 2) + "hi"
                    + Caller.head("POST", "/once/x", second, 3000, Map.of(), 2) + "hi";
            Wire.write(socket.getOutputStream(), both, new byte[0]);
            if (trouble) {
                Thread.sleep(CLOSE_AFTER_MS);
            } else {
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                site.log("answers " + Wire.message(in).start() + ", " + Wire.message(in).start());
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            site.log("caller of " + first + ": " + e);
        }
        closedNs.put(first, System.nanoTime());
        closedNs.put(second, System.nanoTime());
    }
}
