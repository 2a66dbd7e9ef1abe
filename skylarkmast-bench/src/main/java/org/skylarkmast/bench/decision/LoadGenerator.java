package org.skylarkmast.bench.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.skylarkmast.core.key.ProgramKey;

/** Generates the programs of a run from a profile and a seed. */
final class LoadGenerator {
    /** The limit on output tokens that each model call states. */
    static final int MAX_OUTPUT_TOKENS = 600;

    private static final double BURST_START_FRACTION = 1.0 / 3;
    private static final double BURST_END_FRACTION = 0.5;
    private static final double NON_REPEATABLE_SHARE = 0.5;
    private static final double MEAN_SERVICE_NS = 250e6;
    private static final double MEAN_TOOL_PAUSE_NS = 600e6;
    private static final double LOG_SIGMA = 0.6;
    private static final double MAX_TURNS_FACTOR = 3;

    private final LoadProfile profile;
    private final Random random;

    LoadGenerator(LoadProfile profile, long seed) {
        this.profile = profile;
        random = new Random(seed);
    }

    List<ProgramPlan> programs() {
        List<ProgramPlan> programs = new ArrayList<>();
        double arrivalNs = 0;
        while (true) {
            double elapsedFraction = arrivalNs / profile.durationNs();
            boolean burst =
                    elapsedFraction >= BURST_START_FRACTION && elapsedFraction < BURST_END_FRACTION;
            double programsPerS = profile.programsPerS() * (burst ? profile.burstFactor() : 1);
            arrivalNs += exponential(1e9 / programsPerS);
            if (arrivalNs >= profile.durationNs()) {
                return programs;
            }
            String workspace =
                    profile.workspaces().get(random.nextInt(profile.workspaces().size()));
            ProgramKey key = new ProgramKey(workspace, "p" + programs.size());
            int priorityLevel = random.nextInt(10) == 0 ? 2 : 1;
            double meanTurns = profile.conversation().meanTurns();
            int turns =
                    1 + (int) Math.min(exponential(meanTurns - 0.5), MAX_TURNS_FACTOR * meanTurns);
            programs.add(plan(key, (long) arrivalNs, priorityLevel, turns));
        }
    }

    private ProgramPlan plan(ProgramKey key, long arrivalNs, int priorityLevel, int turnCount) {
        List<ProgramPlan.Turn> turns = new ArrayList<>();
        for (int i = 0; i < turnCount; i++) {
            turns.add(turn(key, priorityLevel, i, i == turnCount - 1));
        }
        return new ProgramPlan(key, arrivalNs, priorityLevel, turns);
    }

    private ProgramPlan.Turn turn(ProgramKey key, int priorityLevel, int index, boolean last) {
        LoadProfile.Conversation conversation = profile.conversation();
        int promptTokens =
                logNormal(
                        index == 0
                                ? conversation.firstPromptTokens()
                                : conversation.turnPromptTokens());
        int outputTokens = Math.min(MAX_OUTPUT_TOKENS, logNormal(conversation.outputTokens()));
        boolean callsService = random.nextDouble() < conversation.serviceShare();
        boolean repeatable = random.nextDouble() >= NON_REPEATABLE_SHARE;
        long serviceNs = callsService ? (long) exponential(MEAN_SERVICE_NS) + 20_000_000L : 0;
        long toolNs = last ? 0 : (long) exponential(MEAN_TOOL_PAUSE_NS);
        boolean callerThinks = !last && random.nextDouble() < conversation.thinkShare();
        long thinkNs = callerThinks ? (long) exponential((double) conversation.meanThinkNs()) : 0;
        List<ProgramPlan> subAgents = new ArrayList<>();
        if (!last && key.depth() == 0 && random.nextDouble() < conversation.subAgentShare()) {
            int count = 1 + random.nextInt(3);
            for (int i = 0; i < count; i++) {
                ProgramKey child =
                        new ProgramKey(key.workspace(), key.id() + "/s" + index + "-" + i);
                subAgents.add(plan(child, 0, priorityLevel, 1 + random.nextInt(2)));
            }
        }
        return new ProgramPlan.Turn(
                promptTokens, outputTokens, serviceNs, repeatable, toolNs, thinkNs, subAgents);
    }

    /**
     * Draws from a log-normal distribution with that mean; 0.18 is half the variance of the log.
     */
    private int logNormal(int mean) {
        return Math.max(8, (int) (mean * Math.exp(LOG_SIGMA * random.nextGaussian() - 0.18)));
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }
}
