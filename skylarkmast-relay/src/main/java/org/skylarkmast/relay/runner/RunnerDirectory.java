package org.skylarkmast.relay.runner;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The registered runners, and which of them accept new requests. A runner is leaving as soon as its
 * registration or one of its answers says so. Thread-safe; reads are lock-free.
 */
public final class RunnerDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerDirectory.class);

    private final LongSupplier clockNs;
    private final Counter leavingTotal;
    private final LeavingRunners leaving;
    private final Map<String, Registration> registrations = new HashMap<>();
    private volatile Map<String, List<Runner>> availableByService = Map.of();
    private volatile Set<String> incarnations = Set.of();
    private volatile Set<String> availableIncarnations = Set.of();

    /**
     * A registered runner.
     *
     * @param changedNs when this node learned of the registration as it is
     */
    private record Registration(Runner runner, long changedNs) {}

    /**
     * @param clockNs monotonic clock, in ns
     */
    public RunnerDirectory(LongSupplier clockNs, PrometheusRegistry registry) {
        this.clockNs = clockNs;
        this.leaving = new LeavingRunners(clockNs);
        leavingTotal =
                Counter.builder()
                        .name("skylarkmast_runners_leaving_total")
                        .help("Runners that this node learned to be leaving, by source.")
                        .labelNames("source")
                        .register(registry);
    }

    /** Returns the runners of {@code service} that accept new requests. */
    public List<Runner> available(String service) {
        return availableByService.getOrDefault(service, List.of());
    }

    /** Whether an incarnation is registered and accepts new requests. */
    public boolean isAvailable(String incarnation) {
        return availableIncarnations.contains(incarnation);
    }

    /** Returns the registered runners of all services, leaving or not. */
    public synchronized List<Runner> all() {
        return registrations.values().stream().map(Registration::runner).toList();
    }

    /** Whether an incarnation is registered, leaving or not. */
    public boolean isRegistered(String incarnation) {
        return incarnations.contains(incarnation);
    }

    /** Adds or replaces the registration of a runner. */
    public synchronized void put(Runner runner) {
        Registration previous = registrations.get(runner.id());
        if (previous != null && previous.runner().equals(runner)) {
            return;
        }
        registrations.put(runner.id(), new Registration(runner, clockNs.getAsLong()));
        log("runner_registered", runner);
        if (runner.draining() && (previous == null || !previous.runner().draining())) {
            leavingTotal.labelValues(label(LeavingSource.REGISTRATION)).inc();
        }
        rebuildIndexes();
    }

    /** Removes a runner whose registration has ended or cannot be used. */
    public synchronized void remove(String id) {
        Registration removed = registrations.remove(id);
        if (removed != null) {
            log("runner_gone", removed.runner());
            rebuildIndexes();
        }
    }

    /**
     * Records that an incarnation said that it is leaving: it gets no new requests, even if its
     * registration does not say so.
     *
     * @param startedAtMs as in {@link Runner}
     * @param requestId request whose answer said it
     */
    public synchronized void recordLeaving(
            String id, long startedAtMs, LeavingSource source, String requestId) {
        if (!leaving.add(id, startedAtMs)) {
            return;
        }
        leavingTotal.labelValues(label(source)).inc();
        Registration registration = registrations.get(id);
        LOG.atInfo()
                .addKeyValue("event", "runner_leaving")
                .addKeyValue("runner", id)
                .addKeyValue("startedAtMs", startedAtMs)
                .addKeyValue("request", requestId)
                .addKeyValue("source", label(source))
                .addKeyValue("registered", registration != null)
                .addKeyValue("registrationAgeMs", registration == null ? "" : ageMs(registration))
                .log();
        rebuildIndexes();
    }

    /** Forgets runners that left long ago. */
    public synchronized void expireLeaving() {
        leaving.expire(registrations.keySet());
    }

    /** Returns the number of runners that are remembered to be leaving by their answers. */
    public synchronized int leavingCount() {
        return leaving.size();
    }

    private long ageMs(Registration registration) {
        return TimeUnit.NANOSECONDS.toMillis(clockNs.getAsLong() - registration.changedNs());
    }

    private static String label(LeavingSource source) {
        return source.name().toLowerCase(Locale.ROOT);
    }

    private void rebuildIndexes() {
        Map<String, List<Runner>> byService = new HashMap<>();
        Set<String> registered = new HashSet<>();
        Set<String> available = new HashSet<>();
        for (Registration registration : registrations.values()) {
            Runner runner = registration.runner();
            registered.add(runner.incarnation());
            if (!runner.draining() && !leaving.contains(runner)) {
                available.add(runner.incarnation());
                byService.computeIfAbsent(runner.service(), s -> new ArrayList<>()).add(runner);
            }
        }
        availableByService = byService;
        incarnations = registered;
        availableIncarnations = available;
    }

    private static void log(String event, Runner runner) {
        LOG.atInfo()
                .addKeyValue("event", event)
                .addKeyValue("runner", runner.id())
                .addKeyValue("service", runner.service())
                .addKeyValue("address", runner.address())
                .addKeyValue("softwareVersion", runner.softwareVersion())
                .addKeyValue("draining", runner.draining())
                .log();
    }
}
