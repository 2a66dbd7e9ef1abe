package org.skylarkmast.relay.runner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The registered runners.
 *
 * <p>Registrations lapse while the registry is away although their runners live. After such an
 * outage a runner that is missing stays usable for {@link #RETURN_GRACE_MS}; whoever lives has
 * registered again by then. Thread-safe; reads take no lock.
 */
public final class RunnerDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerDirectory.class);

    /** Runners register again within about two seconds of the registry's return. */
    public static final long RETURN_GRACE_MS = 2000;

    private static final long NS_PER_MS = 1_000_000;

    private final LongSupplier clockNs;
    private final Map<String, Runner> runners = new HashMap<>();
    private final Map<String, Long> lapsedUntilNs = new HashMap<>();
    private volatile Map<String, List<Runner>> usableByService = Map.of();
    private volatile Set<String> incarnations = Set.of();

    /** Starts empty. */
    public RunnerDirectory(LongSupplier clockNs) {
        this.clockNs = clockNs;
    }

    /** The runners of {@code service} that take new work. */
    public List<Runner> usable(String service) {
        return usableByService.getOrDefault(service, List.of());
    }

    /** Whether an incarnation is registered, leaving or not. */
    public boolean knows(String incarnation) {
        return incarnations.contains(incarnation);
    }

    /** Takes a registration. */
    public synchronized void put(Runner runner) {
        Runner before = runners.put(runner.id(), runner);
        lapsedUntilNs.remove(runner.id());
        if (!runner.equals(before)) {
            log("runner_registered", runner);
            publish();
        }
    }

    /** Takes the end of a registration, or one that cannot be used. */
    public synchronized void remove(String id) {
        lapsedUntilNs.remove(id);
        Runner removed = runners.remove(id);
        if (removed != null) {
            log("runner_gone", removed);
            publish();
        }
    }

    /**
     * Takes the registrations as read whole.
     *
     * @param afterOutage whether the registry was away before, so that living runners may be
     *     missing
     */
    public synchronized void replaceAll(Map<String, Runner> read, boolean afterOutage) {
        for (String id : List.copyOf(runners.keySet())) {
            if (!read.containsKey(id)) {
                if (afterOutage) {
                    lapsedUntilNs.putIfAbsent(
                            id, clockNs.getAsLong() + RETURN_GRACE_MS * NS_PER_MS);
                } else {
                    remove(id);
                }
            }
        }
        read.values().forEach(this::put);
    }

    /** Drops runners that did not register again in time. */
    public synchronized void tick() {
        long nowNs = clockNs.getAsLong();
        for (Map.Entry<String, Long> lapsed : List.copyOf(lapsedUntilNs.entrySet())) {
            if (nowNs - lapsed.getValue() >= 0) {
                remove(lapsed.getKey());
            }
        }
    }

    private void publish() {
        Map<String, List<Runner>> byService = new HashMap<>();
        Set<String> known = new java.util.HashSet<>();
        for (Runner runner : runners.values()) {
            known.add(runner.incarnation());
            if (!runner.draining()) {
                byService.computeIfAbsent(runner.service(), s -> new ArrayList<>()).add(runner);
            }
        }
        usableByService = byService;
        incarnations = known;
    }

    private static void log(String event, Runner runner) {
        LOG.atInfo()
                .addKeyValue("event", event)
                .addKeyValue("runner", runner.id())
                .addKeyValue("service", runner.service())
                .addKeyValue("address", runner.address())
                .addKeyValue("draining", runner.draining())
                .log();
    }
}
