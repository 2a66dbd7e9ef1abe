package org.skylarkmast.daemon.engine;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.skylarkmast.core.engine.CacheKey;
import org.skylarkmast.core.engine.FeedCursor;
import org.skylarkmast.core.engine.LoadReport;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.scheduling.RunnerReport;
import org.skylarkmast.core.scheduling.SchedulingEvent;
import org.skylarkmast.http.AbortSignal;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;

/**
 * Reads the load reports and cache events of one runner until closed, each on a thread of its own.
 * Thread-safe.
 */
final class RunnerFeed implements AutoCloseable {
    private static final int OK = 200;

    private final String runner;
    private final String address;
    private final EngineFeed.Timing timing;
    private final HttpClient client;
    private final Consumer<SchedulingEvent> eventHandler;
    private final LongSupplier nowNs;
    private final FeedCursor cursor = new FeedCursor();

    private AbortSignal eventStreamAbort = new AbortSignal();
    private volatile boolean closed;

    RunnerFeed(
            String runner,
            String address,
            EngineFeed.Timing timing,
            HttpClient client,
            Consumer<SchedulingEvent> eventHandler,
            LongSupplier nowNs) {
        this.runner = runner;
        this.address = address;
        this.timing = timing;
        this.client = client;
        this.eventHandler = eventHandler;
        this.nowNs = nowNs;
    }

    String address() {
        return address;
    }

    /** Starts reading; cache events are read only from engines. */
    void start(boolean isEngine) {
        Thread.ofVirtual().name("load-" + runner).start(this::pollLoads);
        if (isEngine) {
            Thread.ofVirtual().name("cache-events-" + runner).start(this::readEvents);
        }
    }

    @Override
    public void close() {
        closed = true;
        currentStreamAbort().abort();
    }

    private void pollLoads() {
        while (!closed) {
            HttpOutcome outcome =
                    client.send(ClientRequest.get(address, "/metrics", timing.timeoutMs()));
            if (outcome instanceof HttpOutcome.Answered answered && answered.status() == OK) {
                LoadReport.parse(answered.text()).ifPresent(this::onReport);
            }
            sleep(timing.pollIntervalMs());
        }
    }

    private void onReport(LoadReport report) {
        boolean restarted;
        synchronized (this) {
            restarted = cursor.onStartTime(report.startedAtMs());
        }
        if (restarted) {
            // A restarted runner numbers its cache events from the start: reopen the stream there.
            currentStreamAbort().abort();
            emit(new SchedulingEvent.RunnerRestarted(runner));
        }
        emit(
                new SchedulingEvent.LoadReported(
                        new RunnerReport(
                                runner,
                                report.running(),
                                report.waiting(),
                                report.cacheUsedTokens(),
                                report.cacheCapacityTokens(),
                                nowNs.getAsLong())));
    }

    private void readEvents() {
        while (!closed) {
            AbortSignal abort = new AbortSignal();
            String path;
            synchronized (this) {
                eventStreamAbort = abort;
                path = "/cache/events?after=" + cursor.lastSequence();
            }
            if (!closed) {
                HttpOutcome _ =
                        client.stream(
                                ClientRequest.get(address, path, timing.eventSilenceMs()),
                                abort,
                                line -> onLine(line, abort));
            }
            sleep(timing.pollIntervalMs());
        }
    }

    private boolean onLine(String line, AbortSignal abort) {
        if (!line.isBlank()) {
            parse(line).ifPresent(event -> onEvent(event, abort));
        }
        return !closed && !abort.aborted();
    }

    private void onEvent(SchedulingEvent.CacheReported event, AbortSignal abort) {
        synchronized (this) {
            if (abort.aborted() || !cursor.onEvent(event.sequence())) {
                return;
            }
        }
        emit(event);
    }

    private Optional<SchedulingEvent.CacheReported> parse(String line) {
        try {
            JsonNode event = JsonUtil.MAPPER.readTree(line);
            Optional<ProgramKey> program = CacheKey.parse(event.path("program").asString(""));
            return program.map(
                    key ->
                            new SchedulingEvent.CacheReported(
                                    runner,
                                    event.path("sequence").asLong(0),
                                    key,
                                    event.path("cachedTokens").asInt(0)));
        } catch (JacksonException e) {
            return Optional.empty();
        }
    }

    private void emit(SchedulingEvent event) {
        if (!closed) {
            eventHandler.accept(event);
        }
    }

    private synchronized AbortSignal currentStreamAbort() {
        return eventStreamAbort;
    }

    private void sleep(long ms) {
        if (closed) {
            return;
        }
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            closed = true;
        }
    }
}
