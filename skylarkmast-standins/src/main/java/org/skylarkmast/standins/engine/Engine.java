package org.skylarkmast.standins.engine;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.skylarkmast.standins.RecordFile;

/**
 * Produces answers token by token, at the pace of an engine that batches continuously.
 *
 * <p>Thread-safe. Each stream is produced on a thread of its own, whether anybody reads it or not.
 */
final class Engine implements AutoCloseable {

    /** Time for which a stream that ended can be resumed. */
    static final long KEEP_STREAM_MS = 30_000;

    /** Streams that decode side by side at full speed; more share it. */
    private static final int FULL_SPEED_BATCH = 8;

    private static final long HANG_POLL_MS = 20;

    private final EngineOptions options;
    private final RecordFile record;
    private final CacheEventLog events;
    private final PrefixCache cache;
    private final BatchSlots slots;
    private final Map<String, TokenStream> streams = new ConcurrentHashMap<>();
    private final AtomicLong lastStream = new AtomicLong();
    private final AtomicInteger breakAfterTokens = new AtomicInteger();
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final long startedAtMs = System.currentTimeMillis();

    private volatile EngineFaults faults = EngineFaults.NONE;
    private EngineLoad reported;
    private long reportedAtNs;

    /** A call to produce an answer for. */
    record EngineCall(
            String program, String key, long epoch, int priority, Prompt prompt, int maxTokens) {}

    Engine(EngineOptions options) throws IOException {
        this.options = options;
        this.record = new RecordFile(options.record());
        this.events = new CacheEventLog(options.reportIntervalMs());
        this.cache = new PrefixCache(options.cacheTokens(), events::append);
        this.slots = new BatchSlots(options.maxConcurrent(), options.maxConcurrent());
        this.reported = currentLoad();
        this.reportedAtNs = System.nanoTime();
    }

    /** Starts to produce an answer; empty if the engine is busy. */
    Optional<TokenStream> start(EngineCall call) {
        BatchSlots.Ticket ticket = slots.enter(call.priority());
        if (ticket == null) {
            return Optional.empty();
        }
        streams.values().removeIf(stream -> stream.outdated(KEEP_STREAM_MS));
        String id = options.name() + "-" + startedAtMs + "-" + lastStream.incrementAndGet();
        TokenStream stream =
                new TokenStream(id, call.prompt(), call.prompt().answerTokens(call.maxTokens()));
        streams.put(id, stream);
        threads.execute(() -> produce(call, stream, ticket));
        return Optional.of(stream);
    }

    /** A stream that runs or is still kept. */
    Optional<TokenStream> stream(String id) {
        return Optional.ofNullable(streams.get(id))
                .filter(stream -> !stream.outdated(KEEP_STREAM_MS));
    }

    PrefixCache cache() {
        return cache;
    }

    CacheEventLog events() {
        return events;
    }

    EngineFaults faults() {
        return faults;
    }

    void setFaults(EngineFaults newFaults) {
        faults = newFaults;
        breakAfterTokens.set(newFaults.breakAfterTokens());
        events.setMuted(true);
        if (newFaults.forgetCache()) {
            cache.clear();
        }
        events.setMuted(newFaults.muteEvents());
    }

    /** Tokens after which the next connection breaks, or 0; used up by the call. */
    int takeBreakAfterTokens() {
        return breakAfterTokens.getAndSet(0);
    }

    /** The load as of the last report, which is up to a reporting interval old. */
    synchronized EngineLoad load() {
        long intervalNs = TimeUnit.MILLISECONDS.toNanos(options.reportIntervalMs());
        if (System.nanoTime() - reportedAtNs >= intervalNs) {
            reported = currentLoad();
            reportedAtNs = System.nanoTime();
        }
        Integer lie = faults.lieLoad();
        return lie == null
                ? reported
                : new EngineLoad(
                        lie, 0, reported.cacheUsedTokens(), reported.cacheCapacityTokens());
    }

    /** Wall-clock time at which it started. */
    long startedAtMs() {
        return startedAtMs;
    }

    @Override
    public void close() throws IOException {
        events.close();
        threads.shutdownNow();
        record.close();
    }

    private EngineLoad currentLoad() {
        return new EngineLoad(
                slots.running(), slots.waiting(), cache.usedTokens(), cache.capacityTokens());
    }

    private void produce(EngineCall call, TokenStream stream, BatchSlots.Ticket ticket) {
        try {
            slots.awaitTurn(ticket);
        } catch (InterruptedException e) {
            stream.cancel();
            stream.end();
            return;
        }
        try {
            run(call, stream);
        } catch (InterruptedException e) {
            stream.cancel();
        } finally {
            stream.end();
            slots.leave();
        }
    }

    private void run(EngineCall call, TokenStream stream) throws InterruptedException {
        if (stream.cancelled()) {
            return;
        }
        int[] prompt = call.prompt().tokens();
        int cached = cache.match(call.program(), prompt);
        stream.setCachedTokens(cached);
        record.append(line("started", call, stream, prompt.length));
        work((prompt.length - cached) / options.prefillTokensPerSecond());
        cache.store(call.program(), prompt);
        boolean more = stream.totalTokens() > 0 && !stream.cancelled();
        while (more) {
            double batch = Math.max(1.0, (double) slots.running() / FULL_SPEED_BATCH);
            work(batch / options.decodeTokensPerSecond());
            awaitNoHang(stream);
            more = stream.produce();
        }
        if (!stream.cancelled()) {
            cache.store(call.program(), call.prompt().tokensWithAnswer(stream.producedTokens()));
        }
        record.append(line("ended", call, stream, prompt.length));
    }

    private void work(double seconds) throws InterruptedException {
        double factor = faults.slowdown() > 0 ? faults.slowdown() : 1.0;
        TimeUnit.NANOSECONDS.sleep((long) (seconds * factor * TimeUnit.SECONDS.toNanos(1)));
    }

    private void awaitNoHang(TokenStream stream) throws InterruptedException {
        while (faults.hang() && !stream.cancelled()) {
            TimeUnit.MILLISECONDS.sleep(HANG_POLL_MS);
        }
    }

    private Map<String, Object> line(
            String event, EngineCall call, TokenStream stream, int promptTokens) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("event", event);
        line.put("runner", options.name());
        line.put("stream", stream.id());
        line.put("program", call.program());
        line.put("key", call.key());
        line.put("epoch", call.epoch());
        line.put("promptTokens", promptTokens);
        line.put("cachedTokens", stream.cachedTokens());
        line.put("outputTokens", stream.producedTokens());
        line.put("cancelled", stream.cancelled());
        line.put("atMs", System.currentTimeMillis());
        return line;
    }
}
