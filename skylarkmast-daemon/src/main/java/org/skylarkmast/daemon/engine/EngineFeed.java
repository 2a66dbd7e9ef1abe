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
 * Reads the load reports of all configured runners and the cache events of engines.
 *
 * <p>Thread-safe. Events of one runner may be delivered by two threads.
 */
public final class EngineFeed implements AutoCloseable {
    private final Timing timing;
    private final HttpClient client;
    private final Consumer<SchedulingEvent> eventHandler;
    private final LongSupplier nowNs;
    private final Map<String, RunnerFeed> feedsByRunner = new HashMap<>();

    /**
     * Intervals and timeouts of reading.
     *
     * @param pollIntervalMs delay between load reports, and before a broken stream is reopened
     * @param timeoutMs timeout of a load report
     * @param eventSilenceMs time without data after which a stream of cache events is reopened
     */
    public record Timing(long pollIntervalMs, long timeoutMs, long eventSilenceMs) {}

    /**
     * Creates a feed without runners.
     *
     * @param eventHandler receives the events that were read; must be thread-safe
     * @param nowNs monotonic clock for the timestamps of load reports
     */
    public EngineFeed(
            Timing timing,
            HttpClient client,
            Consumer<SchedulingEvent> eventHandler,
            LongSupplier nowNs) {
        this.timing = timing;
        this.client = client;
        this.eventHandler = eventHandler;
        this.nowNs = nowNs;
    }

    /** Reads exactly the runners of {@code configuration} from now on. */
    public synchronized void onConfigurationChanged(Configuration configuration) {
        Map<String, RunnerFeed> newFeeds = new HashMap<>();
        for (Target target : configuration.targets().values()) {
            for (Target.Runner runner : target.runners()) {
                RunnerFeed feed = feedsByRunner.get(runner.name());
                if (feed != null && feed.address().equals(runner.address())) {
                    feedsByRunner.remove(runner.name());
                } else {
                    feed = open(runner, target.kind());
                }
                newFeeds.put(runner.name(), feed);
            }
        }
        feedsByRunner.values().forEach(RunnerFeed::close);
        feedsByRunner.clear();
        feedsByRunner.putAll(newFeeds);
    }

    @Override
    public synchronized void close() {
        feedsByRunner.values().forEach(RunnerFeed::close);
        feedsByRunner.clear();
    }

    private RunnerFeed open(Target.Runner runner, Target.Kind kind) {
        RunnerFeed feed =
                new RunnerFeed(
                        runner.name(), runner.address(), timing, client, eventHandler, nowNs);
        feed.start(kind == Target.Kind.MODEL_ENGINE);
        return feed;
    }
}
