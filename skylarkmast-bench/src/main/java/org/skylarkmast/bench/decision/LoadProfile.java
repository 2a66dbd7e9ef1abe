package org.skylarkmast.bench.decision;

import java.util.List;

/**
 * The characteristics of a load and the runners that serve it.
 *
 * @param engineSpeeds speed of each engine, relative to the fastest
 * @param serviceSpeeds speed of each plain-service runner, relative to the fastest
 * @param workspaces names of the workspaces, which have equal load
 * @param programsPerS arrival rate of root programs outside the burst
 * @param burstFactor multiple of the arrival rate during the burst, which is a sixth of the run
 * @param durationNs time over which programs arrive
 */
record LoadProfile(
        String name,
        int owners,
        int failureDomains,
        List<Double> engineSpeeds,
        List<Double> serviceSpeeds,
        int engineSlots,
        long cacheTokensPerEngine,
        List<String> workspaces,
        double cacheWeight,
        double programsPerS,
        double burstFactor,
        long durationNs,
        Conversation conversation) {

    /**
     * The characteristics of programs.
     *
     * @param meanTurns mean number of turns of a root program
     * @param firstPromptTokens mean prompt length of the first turn
     * @param turnPromptTokens mean number of tokens that each later turn adds to the prompt
     * @param serviceShare share of turns that call a plain service
     * @param subAgentShare share of turns that start sub-agents
     * @param thinkShare share of turns after which the caller takes time before the next one
     */
    record Conversation(
            double meanTurns,
            int firstPromptTokens,
            int turnPromptTokens,
            int outputTokens,
            double serviceShare,
            double subAgentShare,
            double thinkShare,
            long meanThinkNs) {}

    private static final long NS_PER_S = 1_000_000_000L;

    /** Many short programs of staff and customers waiting in person for the answer. */
    static LoadProfile workshops() {
        return new LoadProfile(
                "workshops",
                7,
                4,
                List.of(1.0, 0.9, 0.7, 0.5, 0.4, 0.25),
                List.of(1.0, 1.0, 0.8, 0.6, 0.5, 0.4),
                16,
                60_000,
                List.of("intake", "workshop", "customers", "suppliers"),
                0.5,
                2.1,
                1.5,
                240 * NS_PER_S,
                new Conversation(4, 900, 200, 110, 0.5, 0.1, 0.2, 8 * NS_PER_S));
    }

    /** Long family conversations, whose prefixes are expensive to recompute. */
    static LoadProfile consortium() {
        return new LoadProfile(
                "consortium",
                7,
                3,
                List.of(1.0, 1.0, 0.8, 0.8, 0.6, 0.5, 0.4, 0.3),
                List.of(1.0, 0.9, 0.8, 0.7, 0.6, 0.5),
                16,
                120_000,
                List.of("families", "gabbaim", "clerks"),
                2,
                1.28,
                1.5,
                240 * NS_PER_S,
                new Conversation(8, 3_000, 350, 130, 0.3, 0.1, 0.5, 15 * NS_PER_S));
    }

    /** The consortium load on 16 times the runners: the largest size that one host can simulate. */
    static LoadProfile growth() {
        LoadProfile base = consortium();
        List<Double> engines = repeat(base.engineSpeeds(), 16);
        List<Double> services = repeat(base.serviceSpeeds(), 16);
        return new LoadProfile(
                "growth",
                28,
                6,
                engines,
                services,
                base.engineSlots(),
                base.cacheTokensPerEngine(),
                base.workspaces(),
                base.cacheWeight(),
                base.programsPerS() * 16,
                base.burstFactor(),
                60 * NS_PER_S,
                base.conversation());
    }

    /** The same profile with {@code factor} times the arrivals, without a burst. */
    LoadProfile steady(double factor) {
        return new LoadProfile(
                name,
                owners,
                failureDomains,
                engineSpeeds,
                serviceSpeeds,
                engineSlots,
                cacheTokensPerEngine,
                workspaces,
                cacheWeight,
                programsPerS * factor,
                1,
                durationNs,
                conversation);
    }

    private static List<Double> repeat(List<Double> values, int times) {
        return java.util.stream.IntStream.range(0, times)
                .boxed()
                .flatMap(i -> values.stream())
                .toList();
    }
}
