import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * A sound runner: serves one request at a time on a connection and as many at once as it has slots,
 * answers streams with numbered events and other requests with a short body.
 */
final class RunnerStandIn implements AutoCloseable {
    private static final int QUEUE = 48;
    private static final long WORK_MS = 30;

    private final String id;
    private final ServerSocket listener;
    private final Semaphore slots;
    private final int slotCount;
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private volatile int events = 9;
    private volatile long eventPauseMs = 20;

    /** A request that began to run. */
    record Run(String requestId, String path, int bodyBytes, int bodyHash, long atNs) {}

    RunnerStandIn(String ip, String id, int slotCount) throws IOException {
        this.id = id;
        this.slotCount = slotCount;
        this.slots = new Semaphore(slotCount, true);
        this.listener = Wire.listen(ip, 0, (socket, in, out) -> {
            for (Wire.Message request = Wire.message(in); request != null; request = Wire.message(in)) {
                serve(request, out);
            }
        });
    }

    /** Sets how many events a stream has, and the pause before each. */
    void setStream(int count, long pauseMs) {
        events = count;
        eventPauseMs = pauseMs;
    }

    String id() {
        return id;
    }

    List<Run> runs() {
        return runs;
    }

    /** The entry under which it registers. */
    String entry(String service, String zone) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + listener.getInetAddress().getHostAddress()
                + ":" + listener.getLocalPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":"
                + slotCount + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1700000000000}";
    }

    private void serve(Wire.Message request, java.io.OutputStream out) throws Exception {
        String common = "X-Request-Id: " + request.field("x-request-id") + "\r\nX-Instance-Id: " + id
                + "\r\nKeep-Alive: timeout=10\r\n";
        String expected = request.field("x-expect-instance");
        String path = request.start().split(" ")[1];
        if (!expected.isEmpty() && !expected.equals(id)) {
            Wire.write(out, "HTTP/1.1 421 x\r\n" + common + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", new byte[0]);
            return;
        }
        long limitMs = request.field("x-deadline-ms").isEmpty() ? 4000 : Long.parseLong(request.field("x-deadline-ms"));
        if (slots.getQueueLength() >= QUEUE || !slots.tryAcquire(limitMs, TimeUnit.MILLISECONDS)) {
            Wire.write(out, "HTTP/1.1 503 x\r\n" + common + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", new byte[0]);
            return;
        }
        try {
            runs.add(new Run(request.field("x-request-id"), path, request.body().length,
                    java.util.Arrays.hashCode(request.body()), System.nanoTime()));
            String signature = "X-Server-Signature: s." + request.field("x-request-id") + "\r\n";
            if (request.field("x-token-usage").isEmpty()) {
                Thread.sleep(WORK_MS);
                byte[] body = ("done " + request.field("x-request-id")).getBytes(StandardCharsets.US_ASCII);
                Wire.write(out, "HTTP/1.1 200 OK\r\n" + common + signature + "Content-Length: " + body.length + "\r\n\r\n", body);
                return;
            }
            Wire.write(out, "HTTP/1.1 200 OK\r\n" + common + signature
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
            for (int event = 1; event <= events; event++) {
                Thread.sleep(eventPauseMs);
                String text = "id: " + event + "\ndata: part " + event + "\n\n";
                Wire.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n", new byte[0]);
            }
            Wire.write(out, "0\r\n\r\n", new byte[0]);
        } finally {
            slots.release();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
