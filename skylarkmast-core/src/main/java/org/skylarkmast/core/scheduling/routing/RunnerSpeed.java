package org.skylarkmast.core.scheduling.routing;

/**
 * Learnt rates of one runner, as averages in which newer work counts more.
 *
 * <p>Rates include whatever else the runner is busy with. Not thread-safe: owned by the scheduler's
 * event loop.
 */
public final class RunnerSpeed {
    private static final double INITIAL_PREFILL_TOKENS_PER_S = 6_000;
    private static final double INITIAL_INTER_TOKEN_NS = 20e6;
    private static final double INITIAL_CALL_NS = 500e6;
    private static final double INITIAL_PREFILL_TOKENS = 500;
    private static final double INITIAL_OUTPUT_TOKENS = 50;
    private static final double PREFILL_MEMORY_TOKENS = 20_000;
    private static final double OUTPUT_MEMORY_TOKENS = 1_000;
    private static final double CALL_SHARE = 0.1;
    private static final double SLOWDOWN_PER_CALL = 0.05;
    private static final double NS_PER_S = 1e9;

    private final boolean learns;

    private double prefillTokens = INITIAL_PREFILL_TOKENS;
    private double prefillNs = INITIAL_PREFILL_TOKENS / INITIAL_PREFILL_TOKENS_PER_S * NS_PER_S;
    private double outputTokens = INITIAL_OUTPUT_TOKENS;
    private double outputNs = INITIAL_OUTPUT_TOKENS * INITIAL_INTER_TOKEN_NS;
    private double callNs = INITIAL_CALL_NS;

    /** Starts with the rates of a middling engine; one that does not learn keeps them. */
    public RunnerSpeed(boolean learns) {
        this.learns = learns;
    }

    /** Notes that {@code tokens} of prompt were worked on in {@code elapsedNs}. */
    public void observePrefill(double tokens, long elapsedNs) {
        if (!learns || tokens <= 0) {
            return;
        }
        double kept = Math.exp(-tokens / PREFILL_MEMORY_TOKENS);
        double workNs = Math.max(elapsedNs - interTokenNs(0), elapsedNs * 0.1);
        prefillTokens = prefillTokens * kept + tokens;
        prefillNs = prefillNs * kept + workNs;
    }

    /**
     * Notes an answer of {@code tokens} that took {@code elapsedNs} beside {@code calls} others.
     */
    public void observeOutput(int tokens, long elapsedNs, int calls) {
        if (!learns || tokens <= 0) {
            return;
        }
        double kept = Math.exp(-tokens / OUTPUT_MEMORY_TOKENS);
        outputTokens = outputTokens * kept + tokens;
        outputNs = outputNs * kept + elapsedNs / (1 + SLOWDOWN_PER_CALL * calls);
    }

    /** Notes the time of a whole call. */
    public void observeCall(long elapsedNs) {
        if (learns) {
            callNs += CALL_SHARE * (elapsedNs - callNs);
        }
    }

    /** Time to work off {@code tokens} of prompt, in nanoseconds. */
    public double prefillNs(double tokens) {
        return tokens * prefillNs / prefillTokens;
    }

    /** Prompt tokens worked off in a second. */
    public double prefillTokensPerS() {
        return prefillTokens / prefillNs * NS_PER_S;
    }

    /** Time between two answer tokens beside {@code calls} others, in nanoseconds. */
    public double interTokenNs(int calls) {
        return outputNs / outputTokens * (1 + SLOWDOWN_PER_CALL * calls);
    }

    /** Time of a whole call, in nanoseconds. */
    public double callNs() {
        return callNs;
    }
}
