package org.skylarkmast.relay.runner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The registered runners. Thread-safe; reads are lock-free. */
public final class RunnerDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerDirectory.class);

    private final Map<String, Runner> runners = new HashMap<>();
    private volatile Map<String, List<Runner>> availableByService = Map.of();
    private volatile Map<String, Set<String>> versionsByService = Map.of();
    private volatile Set<String> incarnations = Set.of();

    /** Returns the runners of {@code service} that accept new requests. */
    public List<Runner> available(String service) {
        return availableByService.getOrDefault(service, List.of());
    }

    /** Returns the registered runners of all services, draining or not. */
    public synchronized List<Runner> all() {
        return List.copyOf(runners.values());
    }

    /** Whether an incarnation is registered, draining or not. */
    public boolean isRegistered(String incarnation) {
        return incarnations.contains(incarnation);
    }

    /**
     * Returns the software version of all registered runners of {@code service}, draining or not;
     * empty if there are none or they differ.
     */
    public Optional<String> commonSoftwareVersion(String service) {
        Set<String> versions = versionsByService.getOrDefault(service, Set.of());
        return versions.size() == 1 ? versions.stream().findFirst() : Optional.empty();
    }

    /** Adds or replaces the registration of a runner. */
    public synchronized void put(Runner runner) {
        Runner previous = runners.put(runner.id(), runner);
        if (!runner.equals(previous)) {
            log("runner_registered", runner);
            rebuildIndexes();
        }
    }

    /** Removes a runner whose registration has ended or cannot be used. */
    public synchronized void remove(String id) {
        Runner removed = runners.remove(id);
        if (removed != null) {
            log("runner_gone", removed);
            rebuildIndexes();
        }
    }

    private void rebuildIndexes() {
        Map<String, List<Runner>> byService = new HashMap<>();
        Map<String, Set<String>> versions = new HashMap<>();
        Set<String> registered = new HashSet<>();
        for (Runner runner : runners.values()) {
            registered.add(runner.incarnation());
            versions.computeIfAbsent(runner.service(), s -> new HashSet<>())
                    .add(runner.softwareVersion());
            if (!runner.draining()) {
                byService.computeIfAbsent(runner.service(), s -> new ArrayList<>()).add(runner);
            }
        }
        availableByService = byService;
        versionsByService = versions;
        incarnations = registered;
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
