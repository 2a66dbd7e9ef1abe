package org.skylarkmast.bench.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.IntFunction;
import org.skylarkmast.bench.caller.CallerClient;
import org.skylarkmast.bench.caller.CallerOutcome;
import org.skylarkmast.bench.caller.CallerRequest;
import org.skylarkmast.bench.caller.RetryingCaller;
import org.skylarkmast.bench.cluster.Node;

/**
 * Keeps a fixed number of a profile's programs running until it is stopped or the given number of
 * programs has run; thread-safe.
 */
public final class LoadRunner {
    private final LoadProfile profile;
    private final long seed;
    private final IntFunction<Function<CallerRequest, CallerOutcome>> callerByIndex;
    private final AtomicInteger nextIndex = new AtomicInteger();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final List<ProgramResult> results = Collections.synchronizedList(new ArrayList<>());
    private final List<Thread> threads = new ArrayList<>();

    /**
     * @param callerByIndex returns, for the index of a program, the function that sends its
     *     requests
     */
    public LoadRunner(
            LoadProfile profile,
            long seed,
            IntFunction<Function<CallerRequest, CallerOutcome>> callerByIndex) {
        this.profile = profile;
        this.seed = seed;
        this.callerByIndex = callerByIndex;
    }

    /**
     * Creates a load on the callers' API; each program sends its requests to hosts drawn from the
     * seed.
     *
     * @param maxAttempts maximum number of attempts per request before its program fails
     */
    public static LoadRunner onNodes(
            CallerClient client,
            List<Node> nodes,
            LoadProfile profile,
            long seed,
            int maxAttempts) {
        return new LoadRunner(
                profile,
                seed,
                index -> {
                    SplittableRandom hostRandom = new SplittableRandom(seed * 31 + index);
                    return new RetryingCaller(
                                    client, nodes, maxAttempts, bound -> nextInt(hostRandom, bound))
                            ::call;
                });
    }

    private static int nextInt(SplittableRandom random, int bound) {
        synchronized (random) {
            return random.nextInt(bound);
        }
    }

    /**
     * Starts the load.
     *
     * @param concurrent number of programs that run concurrently
     * @param programs total number of programs to run
     */
    public void start(int concurrent, int programs) {
        for (int i = 0; i < concurrent; i++) {
            threads.add(Thread.ofVirtual().start(() -> runPrograms(programs)));
        }
    }

    private void runPrograms(int programs) {
        while (!stopped.get()) {
            int index = nextIndex.getAndIncrement();
            if (index >= programs) {
                return;
            }
            results.add(
                    new ProgramExecution(callerByIndex.apply(index))
                            .run(profile.script(seed, index)));
        }
    }

    /** Number of programs that have ended so far. */
    public int finished() {
        return results.size();
    }

    /** Stops starting programs; running ones continue to their end. */
    public void stop() {
        stopped.set(true);
    }

    /** Waits until all running programs have ended; returns the results of all programs. */
    public List<ProgramResult> await() {
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        synchronized (results) {
            return List.copyOf(results);
        }
    }
}
