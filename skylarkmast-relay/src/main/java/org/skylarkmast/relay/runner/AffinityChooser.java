package org.skylarkmast.relay.runner;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.LongAdder;
import java.util.zip.CRC32C;

/**
 * Chooses a runner for a request about an object that some runner has probably handled recently;
 * thread-safe.
 *
 * <p>All entry nodes order the runners of a service alike for an object (rendezvous hashing), so
 * that its requests meet at the first one. A runner that is over its share of the load passes them
 * on to the next one (bounded loads): an object in demand spreads over several runners, and no
 * runner gets much more than the mean. Does no I/O and reads no clock.
 */
public final class AffinityChooser {

    /** Load of a runner relative to its share from which it passes requests on. */
    private static final double LOAD_FACTOR = 1.25;

    /**
     * Divisor of a runner's slots for the load up to which it is never over its share: with so many
     * free slots nothing waits, and the share of a nearly idle service is less than one request.
     */
    private static final int LIGHT_LOAD_DIVISOR = 4;

    /** Failure rate from which a runner is not preferred for what it has handled. */
    private static final double MAX_FAILURE_RATE = 0.25;

    private record Ranked(RunnerCandidate candidate, long rank) {}

    private final LongAdder first = new LongAdder();
    private final LongAdder next = new LongAdder();
    private final LongAdder none = new LongAdder();

    /**
     * Returns the first runner in the object's order that is not over its share; empty if each is,
     * fails requests, has to wait for its rate limit, or is slower than twice the usual.
     *
     * @param affinityKey names the object
     * @param usualMs usual time of the request at a runner
     */
    public Optional<RunnerCandidate> choose(
            List<RunnerCandidate> candidates, String affinityKey, double usualMs) {
        double totalLoad = 1;
        int totalSlots = 0;
        for (RunnerCandidate candidate : candidates) {
            totalLoad += candidate.load();
            totalSlots += candidate.runner().slots();
        }
        double loadPerSlot = totalLoad / Math.max(1, totalSlots);
        boolean isFirst = true;
        for (Ranked ranked : inOrder(candidates, affinityKey)) {
            RunnerCandidate candidate = ranked.candidate();
            if (isPreferable(candidate, usualMs) && admits(candidate, loadPerSlot)) {
                (isFirst ? first : next).increment();
                return Optional.of(candidate);
            }
            isFirst = false;
        }
        none.increment();
        return Optional.empty();
    }

    private static List<Ranked> inOrder(List<RunnerCandidate> candidates, String affinityKey) {
        long key = checksum(affinityKey);
        List<Ranked> ranked = new ArrayList<>();
        for (RunnerCandidate candidate : candidates) {
            ranked.add(new Ranked(candidate, rank(candidate.runner(), key)));
        }
        ranked.sort(
                Comparator.comparingLong(Ranked::rank)
                        .thenComparing(entry -> entry.candidate().runner().id()));
        return ranked;
    }

    private static boolean isPreferable(RunnerCandidate candidate, double usualMs) {
        return !candidate.ejected()
                && candidate.sendWaitMs() <= 0
                && candidate.failureRate() < MAX_FAILURE_RATE
                && candidate.slowness().delayMs(usualMs) <= usualMs;
    }

    private static boolean admits(RunnerCandidate candidate, double loadPerSlot) {
        int slots = candidate.runner().slots();
        double bound =
                Math.max(
                        Math.ceil(LOAD_FACTOR * loadPerSlot * slots),
                        Math.max(1, slots / LIGHT_LOAD_DIVISOR));
        return candidate.load() + 1 <= bound;
    }

    /** Requests that went to the first runner of their object's order. */
    public long firstCount() {
        return first.sum();
    }

    /** Requests that went to a later runner of their object's order. */
    public long nextCount() {
        return next.sum();
    }

    /** Requests that were placed without regard to their object. */
    public long noneCount() {
        return none.sum();
    }

    /** Rank by the runner's id: one that restarts keeps its objects. */
    private static long rank(Runner runner, long key) {
        long seed = (checksum(runner.id()) << Integer.SIZE) | key;
        return new SplittableRandom(seed).nextLong();
    }

    private static long checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
