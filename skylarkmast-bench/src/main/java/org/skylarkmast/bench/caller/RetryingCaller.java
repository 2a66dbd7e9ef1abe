package org.skylarkmast.bench.caller;

import java.util.List;
import java.util.function.IntUnaryOperator;
import org.skylarkmast.bench.cluster.Await;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.history.HistoryRecord.Execution;

/**
 * Retries a request with the same key at other hosts until it succeeds or is permanently refused.
 */
public final class RetryingCaller {
    private static final long RETRY_DELAY_MS = 100;
    private static final long MAX_RETRY_DELAY_MS = 1_000;
    private static final int TOO_MANY_REQUESTS = 429;

    /** Unknown executions after which a non-repeatable request is no longer retried. */
    private static final int MAX_UNKNOWN_EXECUTIONS = 3;

    private final CallerClient client;
    private final List<Node> nodes;
    private final int maxAttempts;
    private final IntUnaryOperator hostChooser;

    /**
     * @param hostChooser returns the index, below its argument, of the first host; seeded
     */
    public RetryingCaller(
            CallerClient client, List<Node> nodes, int maxAttempts, IntUnaryOperator hostChooser) {
        this.client = client;
        this.nodes = List.copyOf(nodes);
        this.maxAttempts = maxAttempts;
        this.hostChooser = hostChooser;
    }

    /** Retries {@code request} up to the attempt limit and returns the last attempt's outcome. */
    public CallerOutcome call(CallerRequest request) {
        int hostIndex = hostChooser.applyAsInt(nodes.size());
        CallerOutcome outcome = client.send(nodes.get(hostIndex), request);
        int unknownExecutions = 0;
        for (int attempt = 1; attempt < maxAttempts && isRetryable(outcome); attempt++) {
            unknownExecutions += hasUnknownExecution(outcome) ? 1 : 0;
            if (unknownExecutions >= MAX_UNKNOWN_EXECUTIONS && !request.repeatable()) {
                break;
            }
            Await.pause(retryDelayMs(outcome));
            hostIndex = (hostIndex + 1) % nodes.size();
            outcome = client.send(nodes.get(hostIndex), request);
        }
        return outcome;
    }

    private static boolean hasUnknownExecution(CallerOutcome outcome) {
        return outcome instanceof CallerOutcome.Refused refused
                && refused.execution() == Execution.UNKNOWN;
    }

    private static boolean isRetryable(CallerOutcome outcome) {
        return switch (outcome) {
            case CallerOutcome.Succeeded ignored -> false;
            case CallerOutcome.Refused refused ->
                    refused.status() >= 500
                            || refused.status() == TOO_MANY_REQUESTS
                            || (refused.execution() == Execution.NOT_RUN
                                    && refused.retryAfterMs() > 0);
            case CallerOutcome.Disconnected ignored -> true;
        };
    }

    private static long retryDelayMs(CallerOutcome outcome) {
        return outcome instanceof CallerOutcome.Refused refused && refused.retryAfterMs() > 0
                ? Math.min(MAX_RETRY_DELAY_MS, Math.max(RETRY_DELAY_MS, refused.retryAfterMs()))
                : RETRY_DELAY_MS;
    }
}
