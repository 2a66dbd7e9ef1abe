package org.skylarkmast.relay.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.skylarkmast.relay.runner.Runner;

/**
 * Connects to other runners than one that refuses connections, to tell its end from a cut of this
 * node; thread-safe. Nothing is sent on the connections.
 */
public final class CrashWitnesses {

    /**
     * Runners probed at once. With four, three of them must have ended as well before a crash is
     * taken for a cut.
     */
    private static final int WITNESSES = 4;

    private final Supplier<List<Runner>> runners;
    private final Predicate<Runner> accepts;
    private final ExecutorService executor;
    private final Random random;

    /**
     * The outcome of one round.
     *
     * @param probed number of runners that were connected to
     * @param accepting those among them that accepted in time
     */
    public record Round(int probed, int accepting) {}

    /**
     * @param runners returns the runners of all services that are not about to leave
     * @param accepts connects to a runner; whether it accepted the connection in time
     * @param executor runs the connects of a round concurrently
     */
    public CrashWitnesses(
            Supplier<List<Runner>> runners,
            Predicate<Runner> accepts,
            ExecutorService executor,
            Random random) {
        this.runners = runners;
        this.accepts = accepts;
        this.executor = executor;
        this.random = random;
    }

    /**
     * Draws runners to compare {@code refusing} with. Those on other hosts of its failure domain
     * come first, as they share the most links with it; runners on its own host come last.
     */
    List<Runner> draw(Runner refusing) {
        List<Runner> others = new ArrayList<>(runners.get());
        others.removeIf(other -> other.address().equals(refusing.address()));
        Collections.shuffle(others, random);
        others.sort(
                Comparator.comparing((Runner other) -> hostOf(other).equals(hostOf(refusing)))
                        .thenComparing(
                                other -> !other.failureDomain().equals(refusing.failureDomain())));
        return List.copyOf(others.subList(0, Math.min(WITNESSES, others.size())));
    }

    /** Connects to {@code witnesses}; returns once each accepted, refused or timed out. */
    Round probe(List<Runner> witnesses) throws InterruptedException {
        List<Callable<Boolean>> connects = new ArrayList<>();
        for (Runner witness : witnesses) {
            connects.add(() -> accepts.test(witness));
        }
        int accepting = 0;
        for (Future<Boolean> connect : executor.invokeAll(connects)) {
            try {
                accepting += connect.get() ? 1 : 0;
            } catch (ExecutionException e) {
                throw new IllegalStateException("probe of a runner failed", e.getCause());
            }
        }
        return new Round(witnesses.size(), accepting);
    }

    private static String hostOf(Runner runner) {
        return runner.address().substring(0, Math.max(0, runner.address().lastIndexOf(':')));
    }
}
