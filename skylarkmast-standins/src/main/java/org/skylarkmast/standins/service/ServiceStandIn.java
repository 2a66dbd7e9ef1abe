package org.skylarkmast.standins.service;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32C;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.http.ServerRequest;
import org.skylarkmast.standins.EpochCheck;
import org.skylarkmast.standins.RecordFile;
import org.skylarkmast.standins.StandInJson;

/**
 * Stand-in for a plain service.
 *
 * <p>It runs every call that it accepts, even one whose idempotency key it has seen, so that the
 * record shows duplicate executions. Thread-safe.
 */
public final class ServiceStandIn implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final String CALLS_PATH = "/calls/";
    private static final long HANG_POLL_MS = 20;

    private final ServiceOptions options;
    private final RecordFile record;
    private final EpochCheck epochCheck;
    private final Map<String, Answer> answers = new ConcurrentHashMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final long startedAtMs = System.currentTimeMillis();
    private final HttpServer server;

    private volatile ServiceFaults faults = ServiceFaults.NONE;
    private volatile boolean closed;

    private record Answer(int status, String body) {}

    private ServiceStandIn(int port, ServiceOptions options) throws IOException {
        this.options = options;
        this.record = new RecordFile(options.record());
        this.epochCheck = new EpochCheck(options.checksEpoch());
        this.server = HttpServer.start(HOST, port, MAX_BODY_BYTES, this::handle);
    }

    /**
     * Starts a service.
     *
     * @param port port to listen on, or 0 for a free one
     * @throws IOException if the port cannot be bound or the record file cannot be opened
     */
    public static ServiceStandIn start(int port, ServiceOptions options) throws IOException {
        return new ServiceStandIn(port, options);
    }

    /** Returns the port it listens on. */
    public int port() {
        return server.port();
    }

    /** Replaces the active faults by {@code newFaults}. */
    public void setFaults(ServiceFaults newFaults) {
        faults = newFaults;
        answersToLose.set(newFaults.loseAnswers());
    }

    @Override
    public void close() {
        closed = true;
        server.close();
        try {
            record.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private HttpReply handle(ServerRequest call) {
        if (call.method().equals("GET") && call.path().startsWith(CALLS_PATH)) {
            return lookup(call.path().substring(CALLS_PATH.length()));
        }
        return switch (call.method() + " " + call.path()) {
            case "GET /metrics" -> HttpReply.text(200, metrics());
            case "GET /faults" -> HttpReply.json(200, StandInJson.write(faults));
            case "POST /faults" -> setFaults(call);
            default -> admit(call);
        };
    }

    private HttpReply admit(ServerRequest call) {
        if (faults.refuse()) {
            return serviceUnavailable();
        }
        Optional<HttpReply> rejection = epochCheck.rejectStaleCall(call);
        if (rejection.isPresent()) {
            return rejection.get();
        }
        if (running.incrementAndGet() > options.maxConcurrent()) {
            running.decrementAndGet();
            return serviceUnavailable();
        }
        try {
            return run(call);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return serviceUnavailable();
        } finally {
            running.decrementAndGet();
        }
    }

    private HttpReply run(ServerRequest call) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(faults.delayMs());
        while (faults.hang() && !closed) {
            TimeUnit.MILLISECONDS.sleep(HANG_POLL_MS);
        }
        String key = call.header("idempotency-key").orElse("");
        Answer answer = new Answer(call.method().equals("POST") ? 201 : 200, body(call, key));
        record.append(recordEntry(call, key));
        answers.put(key, answer);
        TimeUnit.MILLISECONDS.sleep(options.latencyMs());
        if (answersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
            return new HttpReply.Streamed(
                    answer.status(),
                    Map.of(),
                    "application/json",
                    out -> {
                        throw new IOException("answer dropped by fault injection");
                    });
        }
        return HttpReply.json(answer.status(), answer.body());
    }

    private Map<String, Object> recordEntry(ServerRequest call, String key) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("runner", options.name());
        entry.put("key", key);
        entry.put("program", call.header(EpochCheck.PROGRAM_HEADER).orElse(""));
        entry.put("method", call.method());
        entry.put("path", call.path());
        entry.put("epoch", EpochCheck.epoch(call));
        entry.put("atMs", System.currentTimeMillis());
        return entry;
    }

    /** The answer identifies its request, so that an answer to another request is detected. */
    private static String body(ServerRequest call, String key) {
        CRC32C checksum = new CRC32C();
        checksum.update(call.body(), 0, call.body().length);
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("done", true);
        body.put("key", key);
        body.put("path", call.path());
        body.put("bodyCrc32c", checksum.getValue());
        return StandInJson.write(body);
    }

    private HttpReply lookup(String key) {
        Answer answer = answers.get(key);
        if (!options.lookup() || answer == null) {
            return HttpReply.json(404, "{}");
        }
        return HttpReply.json(200, StandInJson.write(answer));
    }

    private HttpReply setFaults(ServerRequest call) {
        Optional<ServiceFaults> parsed = StandInJson.read(call.body(), ServiceFaults.class);
        if (parsed.isEmpty()) {
            return HttpReply.text(400, "malformed faults\n");
        }
        setFaults(parsed.get());
        return HttpReply.json(200, "{}");
    }

    private String metrics() {
        return "engine_requests_running "
                + running.get()
                + "\nengine_requests_waiting 0"
                + "\nengine_cache_used_tokens 0"
                + "\nengine_cache_capacity_tokens 0"
                + "\nengine_start_time_seconds "
                + startedAtMs / 1000.0
                + "\n";
    }

    private static HttpReply serviceUnavailable() {
        return new HttpReply.Full(
                503,
                Map.of("Retry-After", "1"),
                "application/json",
                "{}".getBytes(StandardCharsets.UTF_8));
    }
}
