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
 * Produces answers token by token with the timing of an engine with continuous batching.
 *
 * <p>Each stream is produced on its own thread, whether or not it is being read. Thread-safe.
 */
final class Engine implements AutoCloseable {

    /** How long a stream can still be read after it has ended. */
    static final long STREAM_RETENTION_MS = 30_000;

    /**
     * Largest batch in which each stream decodes at full speed; a larger batch slows all streams.
     */
    private static final int FULL_SPEED_BATCH_SIZE = 8;

    private static final long HANG_POLL_MS = 20;

    private final EngineOptions options;
    private final RecordFile record;
    private final CacheEventLog events;
    private final PrefixCache cache;
    private final BatchSlots slots;
    private final Map<String, TokenStream> streams = new ConcurrentHashMap<>();
    private final AtomicLong lastStreamNumber = new AtomicLong();
    private final AtomicInteger breakAfterTokens = new AtomicInteger();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final long startedAtMs = System.currentTimeMillis();

    private volatile EngineFaults faults = EngineFaults.NONE;
    private EngineLoad reported;
    private long reportedAtNs;

    /** A call for an answer. */
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

    /** Starts producing an answer; returns empty if the batch and its queue are full. */
    Optional<TokenStream> start(EngineCall call) {
        BatchSlots.Ticket ticket = slots.enqueue(call.priority());
        if (ticket == null) {
            return Optional.empty();
        }
        streams.values().removeIf(stream -> stream.isExpired(STREAM_RETENTION_MS));
        String id = options.name() + "-" + startedAtMs + "-" + lastStreamNumber.incrementAndGet();
        TokenStream stream =
                new TokenStream(id, call.prompt(), call.prompt().answerTokens(call.maxTokens()));
        streams.put(id, stream);
        executor.execute(() -> produce(call, stream, ticket));
        return Optional.of(stream);
    }

    /** Returns a stream that is running or ended within {@link #STREAM_RETENTION_MS}. */
    Optional<TokenStream> stream(String id) {
        return Optional.ofNullable(streams.get(id))
                .filter(stream -> !stream.isExpired(STREAM_RETENTION_MS));
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

    /**
     * Returns the number of tokens after which the next connection breaks, or 0, and resets it to
     * 0.
     */
    int takeBreakAfterTokens() {
        return breakAfterTokens.getAndSet(0);
    }

    /** Returns the last load report, which is at most one reporting interval old. */
    synchronized EngineLoad load() {
        long intervalNs = TimeUnit.MILLISECONDS.toNanos(options.reportIntervalMs());
        if (System.nanoTime() - reportedAtNs >= intervalNs) {
            reported = currentLoad();
            reportedAtNs = System.nanoTime();
        }
        Integer falseRunningCalls = faults.lieLoad();
        return falseRunningCalls == null
                ? reported
                : new EngineLoad(
                        falseRunningCalls,
                        0,
                        reported.cacheUsedTokens(),
                        reported.cacheCapacityTokens());
    }

    /** Returns the wall-clock time of its start in ms since the epoch. */
    long startedAtMs() {
        return startedAtMs;
    }

    @Override
    public void close() throws IOException {
        events.close();
        executor.shutdownNow();
        record.close();
    }

    private EngineLoad currentLoad() {
        return new EngineLoad(
                slots.running(), slots.waiting(), cache.usedTokens(), cache.capacityTokens());
    }

    private void produce(EngineCall call, TokenStream stream, BatchSlots.Ticket ticket) {
        try {
            slots.acquire(ticket);
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
            slots.release();
        }
    }

    private void run(EngineCall call, TokenStream stream) throws InterruptedException {
        if (stream.cancelled()) {
            return;
        }
        int[] prompt = call.prompt().tokens();
        int cached = cache.matchedTokens(call.program(), prompt);
        stream.setCachedTokens(cached);
        record.append(recordEntry("started", call, stream, prompt.length));
        simulateWork((prompt.length - cached) / options.prefillTokensPerSecond());
        cache.store(call.program(), prompt);
        boolean more = stream.totalTokens() > 0 && !stream.cancelled();
        while (more) {
            double batchSlowdown = Math.max(1.0, (double) slots.running() / FULL_SPEED_BATCH_SIZE);
            simulateWork(batchSlowdown / options.decodeTokensPerSecond());
            awaitEndOfHang(stream);
            more = stream.produce();
        }
        if (!stream.cancelled()) {
            cache.store(call.program(), call.prompt().tokensWithAnswer(stream.producedTokens()));
        }
        record.append(recordEntry("ended", call, stream, prompt.length));
    }

    private void simulateWork(double seconds) throws InterruptedException {
        double factor = faults.slowdown() > 0 ? faults.slowdown() : 1.0;
        TimeUnit.NANOSECONDS.sleep((long) (seconds * factor * TimeUnit.SECONDS.toNanos(1)));
    }

    private void awaitEndOfHang(TokenStream stream) throws InterruptedException {
        while (faults.hang() && !stream.cancelled()) {
            TimeUnit.MILLISECONDS.sleep(HANG_POLL_MS);
        }
    }

    private Map<String, Object> recordEntry(
            String event, EngineCall call, TokenStream stream, int promptTokens) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("event", event);
        entry.put("runner", options.name());
        entry.put("stream", stream.id());
        entry.put("program", call.program());
        entry.put("key", call.key());
        entry.put("epoch", call.epoch());
        entry.put("promptTokens", promptTokens);
        entry.put("cachedTokens", stream.cachedTokens());
        entry.put("outputTokens", stream.producedTokens());
        entry.put("cancelled", stream.cancelled());
        entry.put("atMs", System.currentTimeMillis());
        return entry;
    }
}
