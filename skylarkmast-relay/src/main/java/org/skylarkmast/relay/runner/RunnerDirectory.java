package org.skylarkmast.relay.runner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The registered runners. Thread-safe; reads take no lock. */
public final class RunnerDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerDirectory.class);

    private final Map<String, Runner> runners = new HashMap<>();
    private volatile Map<String, List<Runner>> usableByService = Map.of();
    private volatile Set<String> incarnations = Set.of();

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
        if (!runner.equals(before)) {
            log("runner_registered", runner);
            publish();
        }
    }

    /** Takes the end of a registration, or one that cannot be used. */
    public synchronized void remove(String id) {
        Runner removed = runners.remove(id);
        if (removed != null) {
            log("runner_gone", removed);
            publish();
        }
    }

    private void publish() {
        Map<String, List<Runner>> byService = new HashMap<>();
        Set<String> known = new HashSet<>();
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
