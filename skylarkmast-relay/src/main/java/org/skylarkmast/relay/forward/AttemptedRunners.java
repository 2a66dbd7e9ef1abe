package org.skylarkmast.relay.forward;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.skylarkmast.relay.runner.Runner;

/**
 * The runners that may have run a request, limited by its route. Runners that are gone do not count
 * against the limit. Confined to one thread.
 */
final class AttemptedRunners {
    private final int maxRunners;
    private final Map<String, Runner> counted = new LinkedHashMap<>();
    private boolean mayHaveRun;

    /**
     * @param maxRunners number of runners to which the request may be sent, at least 1
     */
    AttemptedRunners(int maxRunners) {
        this.maxRunners = maxRunners;
    }

    /** Records that {@code runner} may have run the request. */
    void add(Runner runner) {
        counted.put(runner.incarnation(), runner);
        mayHaveRun = true;
    }

    /** No longer counts an incarnation that is gone. */
    void discount(Runner runner) {
        counted.remove(runner.incarnation());
    }

    /** No longer counts the runners that do not match {@code isRegistered}. */
    void retain(Predicate<Runner> isRegistered) {
        counted.values().removeIf(runner -> !isRegistered.test(runner));
    }

    /** Number of further runners to which the request may be sent. */
    int remaining() {
        return maxRunners - counted.size();
    }

    /** The runners that count, in the order of the attempts. */
    Collection<Runner> counted() {
        return counted.values();
    }

    /** Whether any runner may have run the request, also one that is gone. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
