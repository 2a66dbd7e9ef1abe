package org.skylarkmast.daemon.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.scheduling.SchedulingEvent;
import org.skylarkmast.http.HttpClient;

/**
 * Reads load reports of all configured runners and cache events of engines.
 *
 * <p>Thread-safe. Events of one runner may come from two threads.
 */
public final class EngineFeed implements AutoCloseable {
    private final Timing timing;
    private final HttpClient client;
    private final Consumer<SchedulingEvent> events;
    private final LongSupplier nowNs;
    private final Map<String, RunnerFeed> feeds = new HashMap<>();

    /**
     * Pauses and limits of reading.
     *
     * @param pollIntervalMs pause between load reports, and before a broken stream is reopened
     * @param timeoutMs longest wait for a load report
     * @param eventSilenceMs silence after which a stream of events is reopened
     */
    public record Timing(long pollIntervalMs, long timeoutMs, long eventSilenceMs) {}

    /**
     * Creates a feed without runners.
     *
     * @param events takes what was read; must be thread-safe
     * @param nowNs monotonic clock that dates load reports
     */
    public EngineFeed(
            Timing timing,
            HttpClient client,
            Consumer<SchedulingEvent> events,
            LongSupplier nowNs) {
        this.timing = timing;
        this.client = client;
        this.events = events;
        this.nowNs = nowNs;
    }

    /** Reads the runners of {@code configuration} from now on, and no others. */
    public synchronized void follow(Configuration configuration) {
        Map<String, RunnerFeed> kept = new HashMap<>();
        for (Target target : configuration.targets().values()) {
            for (Target.Runner runner : target.runners()) {
                RunnerFeed feed = feeds.get(runner.name());
                if (feed != null && feed.address().equals(runner.address())) {
                    feeds.remove(runner.name());
                } else {
                    feed = open(runner, target.kind());
                }
                kept.put(runner.name(), feed);
            }
        }
        feeds.values().forEach(RunnerFeed::close);
        feeds.clear();
        feeds.putAll(kept);
    }

    @Override
    public synchronized void close() {
        feeds.values().forEach(RunnerFeed::close);
        feeds.clear();
    }

    private RunnerFeed open(Target.Runner runner, Target.Kind kind) {
        RunnerFeed feed =
                new RunnerFeed(runner.name(), runner.address(), timing, client, events, nowNs);
        feed.start(kind == Target.Kind.MODEL_ENGINE);
        return feed;
    }
}
