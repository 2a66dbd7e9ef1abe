package org.skylarkmast.bench.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.skylarkmast.core.key.ProgramKey;

/** Draws the programs of a run from a profile and a seed. */
final class LoadGenerator {
    /** Bound on one answer, as the calls state it. */
    static final int MAX_OUTPUT_TOKENS = 600;

    private static final double BURST_FROM = 1.0 / 3;
    private static final double BURST_TO = 0.5;
    private static final double NON_REPEATABLE_SHARE = 0.5;
    private static final double MEAN_SERVICE_NS = 250e6;
    private static final double MEAN_TOOL_NS = 600e6;
    private static final double SPREAD = 0.6;
    private static final double MAX_TURNS = 3;

    private final LoadProfile profile;
    private final Random random;

    LoadGenerator(LoadProfile profile, long seed) {
        this.profile = profile;
        random = new Random(seed);
    }

    List<ProgramPlan> programs() {
        List<ProgramPlan> programs = new ArrayList<>();
        double atNs = 0;
        while (true) {
            double position = atNs / profile.durationNs();
            boolean burst = position >= BURST_FROM && position < BURST_TO;
            double perS = profile.programsPerS() * (burst ? profile.burstFactor() : 1);
            atNs += exponential(1e9 / perS);
            if (atNs >= profile.durationNs()) {
                return programs;
            }
            String workspace =
                    profile.workspaces().get(random.nextInt(profile.workspaces().size()));
            ProgramKey key = new ProgramKey(workspace, "p" + programs.size());
            int priorityLevel = random.nextInt(10) == 0 ? 2 : 1;
            double meanTurns = profile.conversation().meanTurns();
            int turns = 1 + (int) Math.min(exponential(meanTurns - 0.5), MAX_TURNS * meanTurns);
            programs.add(plan(key, (long) atNs, priorityLevel, turns));
        }
    }

    private ProgramPlan plan(ProgramKey key, long atNs, int priorityLevel, int turnCount) {
        List<ProgramPlan.Turn> turns = new ArrayList<>();
        for (int i = 0; i < turnCount; i++) {
            turns.add(turn(key, priorityLevel, i, i == turnCount - 1));
        }
        return new ProgramPlan(key, atNs, priorityLevel, turns);
    }

    private ProgramPlan.Turn turn(ProgramKey key, int priorityLevel, int index, boolean last) {
        LoadProfile.Conversation shape = profile.conversation();
        int prompt = around(index == 0 ? shape.firstPromptTokens() : shape.turnPromptTokens());
        int output = Math.min(MAX_OUTPUT_TOKENS, around(shape.outputTokens()));
        boolean service = random.nextDouble() < shape.serviceShare();
        boolean repeatable = random.nextDouble() >= NON_REPEATABLE_SHARE;
        long serviceNs = service ? (long) exponential(MEAN_SERVICE_NS) + 20_000_000L : 0;
        long toolNs = last ? 0 : (long) exponential(MEAN_TOOL_NS);
        boolean thinks = !last && random.nextDouble() < shape.thinkShare();
        long thinkNs = thinks ? (long) exponential((double) shape.meanThinkNs()) : 0;
        List<ProgramPlan> subAgents = new ArrayList<>();
        if (!last && key.depth() == 0 && random.nextDouble() < shape.subAgentShare()) {
            int count = 1 + random.nextInt(3);
            for (int i = 0; i < count; i++) {
                ProgramKey child =
                        new ProgramKey(key.workspace(), key.id() + "/s" + index + "-" + i);
                subAgents.add(plan(child, 0, priorityLevel, 1 + random.nextInt(2)));
            }
        }
        return new ProgramPlan.Turn(
                prompt, output, serviceNs, repeatable, toolNs, thinkNs, subAgents);
    }

    private int around(int mean) {
        return Math.max(8, (int) (mean * Math.exp(SPREAD * random.nextGaussian() - 0.18)));
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }
}
