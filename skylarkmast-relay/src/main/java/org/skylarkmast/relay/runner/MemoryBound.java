package org.skylarkmast.relay.runner;

import java.util.List;
import java.util.concurrent.atomic.LongAdder;

/**
 * Keeps requests from runners whose memory the requests in flight there fill; thread-safe.
 *
 * <p>A runner that runs out of memory preempts requests and processes them again from the start. If
 * no runner has room, all remain: waiting at a runner is no worse than waiting here, and the tokens
 * of other nodes' requests are only estimated. Does no I/O and reads no clock.
 */
public final class MemoryBound {
    private final LongAdder spared = new LongAdder();
    private final LongAdder exceeded = new LongAdder();

    /**
     * Returns the runners that have room for a request; all if none has, or nothing is known of
     * their memory or the request's tokens.
     */
    List<RunnerCandidate> withRoom(List<RunnerCandidate> candidates, Placement placement) {
        if (!placement.isBoundByMemory() || candidates.isEmpty()) {
            return candidates;
        }
        List<RunnerCandidate> withRoom =
                candidates.stream().filter(candidate -> hasRoom(candidate, placement)).toList();
        if (withRoom.stream().allMatch(RunnerCandidate::ejected)) {
            exceeded.increment();
            return candidates;
        }
        if (withRoom.size() < candidates.size()) {
            spared.increment();
        }
        return withRoom;
    }

    /** An idle runner has room for any request: it is the best that the service has. */
    private static boolean hasRoom(RunnerCandidate candidate, Placement placement) {
        return candidate.load() < 1
                || candidate.tokensInFlight() + placement.tokens() <= placement.capacityTokens();
    }

    /** Choices from which runners without room were left out. */
    public long sparedCount() {
        return spared.sum();
    }

    /** Choices for which no runner had room. */
    public long exceededCount() {
        return exceeded.sum();
    }
}
