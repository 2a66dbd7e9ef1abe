package org.skylarkmast.core.scheduling.routing;

/**
 * Estimated processing rates of one runner, as moving averages that weight recent work more.
 *
 * <p>The rates include the effect of other load on the runner. Not thread-safe: owned by the
 * scheduler's event loop.
 */
public final class RunnerSpeed {
    private static final double INITIAL_PREFILL_TOKENS_PER_S = 6_000;
    private static final double INITIAL_INTER_TOKEN_NS = 20e6;
    private static final double INITIAL_CALL_NS = 500e6;
    private static final double INITIAL_PREFILL_TOKENS = 500;
    private static final double INITIAL_OUTPUT_TOKENS = 50;
    private static final double PREFILL_DECAY_TOKENS = 20_000;
    private static final double OUTPUT_DECAY_TOKENS = 1_000;
    private static final double CALL_EWMA_WEIGHT = 0.1;
    private static final double SLOWDOWN_PER_CALL = 0.05;
    private static final double NS_PER_S = 1e9;

    private final boolean adaptive;

    private double prefillTokens = INITIAL_PREFILL_TOKENS;
    private double prefillNs = INITIAL_PREFILL_TOKENS / INITIAL_PREFILL_TOKENS_PER_S * NS_PER_S;
    private double outputTokens = INITIAL_OUTPUT_TOKENS;
    private double outputNs = INITIAL_OUTPUT_TOKENS * INITIAL_INTER_TOKEN_NS;
    private double callNs = INITIAL_CALL_NS;

    /**
     * Creates an estimate with the default rates of an average engine; they stay fixed unless it is
     * adaptive.
     */
    public RunnerSpeed(boolean adaptive) {
        this.adaptive = adaptive;
    }

    /**
     * Records that {@code tokens} of prompt were prefilled in {@code elapsedNs}, which includes the
     * decoding of the first answer token.
     */
    public void observePrefill(double tokens, long elapsedNs) {
        if (!adaptive || tokens <= 0) {
            return;
        }
        double decay = Math.exp(-tokens / PREFILL_DECAY_TOKENS);
        double prefillOnlyNs = Math.max(elapsedNs - interTokenNs(0), elapsedNs * 0.1);
        prefillTokens = prefillTokens * decay + tokens;
        prefillNs = prefillNs * decay + prefillOnlyNs;
    }

    /**
     * Records an answer of {@code tokens} that took {@code elapsedNs} while {@code calls} others
     * were in flight.
     */
    public void observeOutput(int tokens, long elapsedNs, int calls) {
        if (!adaptive || tokens <= 0) {
            return;
        }
        double decay = Math.exp(-tokens / OUTPUT_DECAY_TOKENS);
        outputTokens = outputTokens * decay + tokens;
        outputNs = outputNs * decay + elapsedNs / (1 + SLOWDOWN_PER_CALL * calls);
    }

    /** Records the duration of a whole call. */
    public void observeCall(long elapsedNs) {
        if (adaptive) {
            callNs += CALL_EWMA_WEIGHT * (elapsedNs - callNs);
        }
    }

    /** Time to prefill {@code tokens}, in nanoseconds. */
    public double prefillNs(double tokens) {
        return tokens * prefillNs / prefillTokens;
    }

    /** Prompt tokens prefilled per second. */
    public double prefillTokensPerS() {
        return prefillTokens / prefillNs * NS_PER_S;
    }

    /** Time between two answer tokens while {@code calls} others are in flight, in nanoseconds. */
    public double interTokenNs(int calls) {
        return outputNs / outputTokens * (1 + SLOWDOWN_PER_CALL * calls);
    }

    /** Duration of a whole call, in nanoseconds. */
    public double callNs() {
        return callNs;
    }
}
