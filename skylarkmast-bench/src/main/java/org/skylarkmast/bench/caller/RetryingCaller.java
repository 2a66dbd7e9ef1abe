package org.skylarkmast.bench.caller;

import java.util.List;
import java.util.function.IntUnaryOperator;
import org.skylarkmast.bench.cluster.Await;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.history.HistoryRecord.Execution;

/**
 * Sends a request again, with the same key and by another host, until it succeeds or is refused for
 * good.
 */
public final class RetryingCaller {
    private static final long PAUSE_MS = 100;
    private static final long MAX_PAUSE_MS = 1_000;
    private static final int TOO_MANY_REQUESTS = 429;

    /** Answers of unknown outcome after which a request that may not be repeated is given up. */
    private static final int MAX_UNKNOWN = 3;

    private final CallerClient client;
    private final List<Node> nodes;
    private final int maxAttempts;
    private final IntUnaryOperator pick;

    /**
     * @param pick the index below its argument of the host to try next; seeded
     */
    public RetryingCaller(
            CallerClient client, List<Node> nodes, int maxAttempts, IntUnaryOperator pick) {
        this.client = client;
        this.nodes = List.copyOf(nodes);
        this.maxAttempts = maxAttempts;
        this.pick = pick;
    }

    /** The last outcome of {@code request} after as many attempts as were needed. */
    public CallerOutcome call(CallerRequest request) {
        int host = pick.applyAsInt(nodes.size());
        CallerOutcome outcome = client.send(nodes.get(host), request);
        int unknown = 0;
        for (int attempt = 1; attempt < maxAttempts && worthAnother(outcome); attempt++) {
            unknown += unknown(outcome) ? 1 : 0;
            if (unknown >= MAX_UNKNOWN && !request.repeatable()) {
                break;
            }
            Await.pause(pauseMs(outcome));
            host = (host + 1) % nodes.size();
            outcome = client.send(nodes.get(host), request);
        }
        return outcome;
    }

    private static boolean unknown(CallerOutcome outcome) {
        return outcome instanceof CallerOutcome.Refused refused
                && refused.execution() == Execution.UNKNOWN;
    }

    private static boolean worthAnother(CallerOutcome outcome) {
        return switch (outcome) {
            case CallerOutcome.Succeeded ignored -> false;
            case CallerOutcome.Refused refused ->
                    refused.status() >= 500
                            || refused.status() == TOO_MANY_REQUESTS
                            || (refused.execution() == Execution.NOT_RUN
                                    && refused.retryAfterMs() > 0);
            case CallerOutcome.Cut ignored -> true;
        };
    }

    private static long pauseMs(CallerOutcome outcome) {
        return outcome instanceof CallerOutcome.Refused refused && refused.retryAfterMs() > 0
                ? Math.min(MAX_PAUSE_MS, Math.max(PAUSE_MS, refused.retryAfterMs()))
                : PAUSE_MS;
    }
}
