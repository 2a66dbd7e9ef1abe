import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner: slots, a short queue, event streams and plain answers. */
class RunnerStandIn implements AutoCloseable {
    final String id;
    final String service;
    final String version;
    final int slots;
    final int queue;
    final long bornMs = System.currentTimeMillis();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final AtomicInteger rejected = new AtomicInteger();
    final AtomicInteger channels = new AtomicInteger();
    private final ServerSocket listener;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final Map<Socket, Boolean> open = new ConcurrentHashMap<>();

    /** How long the work of a request takes, in ms; for a stream the time between events. */
    volatile long workMs = 20;

    volatile int events = 9;
    volatile int eventBytes = 70;

    /** A request that this runner began to work on. */
    record Run(String requestId, String runner, String target, int bodyBytes, String body, long ns) {}

    RunnerStandIn(String ip, String id, String service, String version, int slots, int queue)
            throws IOException {
        this(ip, 0, id, service, version, slots, queue);
    }

    RunnerStandIn(
            String ip, int port, String id, String service, String version, int slots, int queue)
            throws IOException {
        this.id = id;
        this.service = service;
        this.version = version;
        this.slots = slots;
        this.queue = queue;
        this.free = new Semaphore(slots, true);
        this.listener = new ServerSocket(port, 200, InetAddress.getByName(ip));
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    String entry(String state, int sequence) {
        return entry(address(), state, sequence);
    }

    String entry(String address, String state, int sequence) {
        return """
        {"service":"%s","address":"%s","zone":"d","version":"%s","slots":%d,"state":"%s",\
        "cold_remaining_ms":0,"sequence":%d,"born":%d}"""
                .formatted(service, address, version, slots, state, sequence, bornMs);
    }

    /** The number of requests that it works on. */
    int running() {
        return slots - free.availablePermits();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                open.put(socket, true);
                channels.incrementAndGet();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.readRequest(in);
                    request != null;
                    request = Http.readRequest(in)) {
                if (!answer(request, socket, out)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The node closed the channel.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
            channels.decrementAndGet();
        }
    }

    /** Answers a request; returns whether the channel stays open. */
    private boolean answer(Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        Map<String, String> fields = new LinkedHashMap<>();
        String requestId = request.field("x-request-id");
        fields.put("X-Request-Id", requestId);
        fields.put("X-Instance-Id", id);
        String expected = request.field("x-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            fields.put("X-Not-Executed", "1");
            out.write(Http.message("HTTP/1.1 421 X", fields, new byte[0]));
            return true;
        }
        if (!free.tryAcquire()) {
            if (waiting.incrementAndGet() > queue) {
                waiting.decrementAndGet();
                rejected.incrementAndGet();
                fields.put("X-Not-Executed", "1");
                fields.put("X-Server-Load", load());
                out.write(Http.message("HTTP/1.1 503 X", fields, new byte[0]));
                return true;
            }
            free.acquire();
            waiting.decrementAndGet();
        }
        try {
            runs.add(
                    new Run(
                            requestId,
                            id,
                            request.target(),
                            request.body.length,
                            keepsBodies()
                                    ? new String(request.body, StandardCharsets.ISO_8859_1)
                                    : "",
                            System.nanoTime()));
            fields.put("X-Server-Signature", "s." + requestId);
            fields.put("X-Server-Load", load());
            return run(request, fields, socket, out);
        } finally {
            free.release();
        }
    }

    boolean keepsBodies() {
        return false;
    }

    private String load() {
        return (slots - free.availablePermits()) + "," + waiting.get() + "," + slots;
    }

    /** Runs a request; returns whether the channel stays open. */
    boolean run(
            Http.Message request, Map<String, String> fields, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        if (!request.target().contains("stream")) {
            Thread.sleep(workMs);
            out.write(Http.message("HTTP/1.1 200 OK", fields, new byte[800]));
            return true;
        }
        fields.put("Content-Type", "text/event-stream");
        fields.put("Transfer-Encoding", "chunked");
        out.write(Http.message("HTTP/1.1 200 OK", fields, null));
        String after = request.field("last-event-id");
        for (int i = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; i <= events; i++) {
            Thread.sleep(workMs);
            out.write(Http.chunk(event(request, i).getBytes(StandardCharsets.US_ASCII)));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    String event(Http.Message request, int number) {
        String data = request.field("x-request-id") + "." + number + "." + version + ".";
        return "id: " + number + "\ndata: " + data + "x".repeat(Math.max(0, eventBytes - data.length()))
                + "\n\n";
    }

    @Override
    public void close() throws IOException {
        listener.close();
        open.keySet()
                .forEach(
                        socket -> {
                            try {
                                socket.close();
                            } catch (IOException e) {
                                // Closed already.
                            }
                        });
    }
}
