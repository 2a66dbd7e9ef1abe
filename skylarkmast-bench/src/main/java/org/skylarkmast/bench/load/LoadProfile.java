package org.skylarkmast.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.skylarkmast.bench.caller.CallerRequest;
import org.skylarkmast.bench.history.HistoryRecord.Kind;

/**
 * The characteristics of one user's programs.
 *
 * @param workspace the workspace of its callers
 * @param minTurns minimum number of model calls of a root program
 * @param maxTurns maximum number of model calls of a root program
 * @param minWords minimum number of words of a user message
 * @param maxWords maximum number of words of a user message
 * @param maxPauseMs maximum tool pause
 * @param orderShare share of turns followed by an order, which may not be repeated
 * @param lookupShare share of turns followed by a lookup, which may be repeated
 * @param subAgentShare share of turns followed by sub-agents
 */
public record LoadProfile(
        String workspace,
        int minTurns,
        int maxTurns,
        int minWords,
        int maxWords,
        long maxPauseMs,
        double orderShare,
        double lookupShare,
        double subAgentShare) {

    /** Short conversations at the counter, with parts orders and deposits. */
    public static final LoadProfile WORKSHOPS =
            new LoadProfile("workshops", 2, 6, 10, 60, 300, 0.35, 0.3, 0.15);

    /** Long family conversations, with seat bookings and rebalanced sections. */
    public static final LoadProfile CONSORTIUM =
            new LoadProfile("consortium", 5, 14, 30, 160, 500, 0.2, 0.2, 0.1);

    private static final int SUB_AGENT_TURNS = 2;
    private static final int MAX_SUB_AGENTS = 3;
    private static final double STREAMED_SHARE = 0.7;
    private static final List<String> WORDS =
            List.of(
                    "bike", "chain", "brake", "wheel", "pickup", "seat", "family", "aisle", "row",
                    "pledge", "order", "deposit", "parts", "quiet", "early", "again", "before",
                    "please", "today", "section");

    /** Generates the program with the given index; deterministic for a seed. */
    public ProgramScript script(long seed, int index) {
        SplittableRandom random = new SplittableRandom(seed * 1_000_003 + index);
        String program = "p" + Long.toHexString(seed) + "-" + index;
        int turns = random.nextInt(minTurns, maxTurns + 1);
        return script(program, turns, random, true);
    }

    private ProgramScript script(
            String program, int turns, SplittableRandom random, boolean allowSubAgents) {
        List<Step> steps = new ArrayList<>();
        for (int turn = 1; turn <= turns; turn++) {
            steps.add(modelCall(program, "t" + turn, random));
            if (random.nextDouble() < orderShare) {
                steps.add(serviceCall(program, "o" + turn, false));
            }
            if (random.nextDouble() < lookupShare) {
                steps.add(serviceCall(program, "l" + turn, true));
            }
            if (allowSubAgents && random.nextDouble() < subAgentShare) {
                steps.add(subAgentStep(program, turn, random));
            }
            steps.add(new Step.Pause(random.nextLong(maxPauseMs + 1)));
        }
        return new ProgramScript(workspace, program, steps);
    }

    private Step subAgentStep(String program, int turn, SplittableRandom random) {
        List<ProgramScript> scripts = new ArrayList<>();
        int count = random.nextInt(1, MAX_SUB_AGENTS + 1);
        for (int i = 1; i <= count; i++) {
            String id = program + "/a" + turn + "-" + i;
            scripts.add(script(id, SUB_AGENT_TURNS, random, false));
        }
        return new Step.SubAgents(scripts);
    }

    private Step modelCall(String program, String key, SplittableRandom random) {
        StringBuilder text = new StringBuilder(program + " " + key);
        int words = random.nextInt(minWords, maxWords + 1);
        for (int i = 0; i < words; i++) {
            text.append(' ').append(WORDS.get(random.nextInt(WORDS.size())));
        }
        boolean streamed = random.nextDouble() < STREAMED_SHARE;
        return new Step.Call(
                new CallerRequest(
                        workspace,
                        program,
                        uniqueKey(program, key),
                        Kind.MODEL,
                        true,
                        text.toString(),
                        streamed));
    }

    private Step serviceCall(String program, String key, boolean repeatable) {
        String unique = uniqueKey(program, key);
        return new Step.Call(
                new CallerRequest(
                        workspace, program, unique, Kind.SERVICE, repeatable, unique, false));
    }

    /** A key unique within the run, so that an answer to the wrong request is detected. */
    private static String uniqueKey(String program, String key) {
        return program.replace('/', '.') + "." + key;
    }
}
