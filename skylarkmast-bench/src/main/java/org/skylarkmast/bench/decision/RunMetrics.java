package org.skylarkmast.bench.decision;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;

/** Collects the counts and latencies of one run. */
final class RunMetrics {
    private static final double NS_PER_MS = 1e6;

    private final LongStream.Builder programLatenciesNs = LongStream.builder();
    private final LongStream.Builder firstTokensNs = LongStream.builder();
    private final LongStream.Builder engineFirstTokensNs = LongStream.builder();
    private final LongStream.Builder interTokensNs = LongStream.builder();
    private final Map<String, int[]> inTimeAndStartedByWorkspace = new TreeMap<>();
    private long promptTokens;
    private long wastedTokens;
    private int good;
    private int late;
    private int failed;
    private int refusals;
    private int retries;
    private int turnedAway;

    void recordProgramStart(String workspace) {
        inTimeAndStartedByWorkspace.computeIfAbsent(workspace, name -> new int[2])[1]++;
    }

    void recordProgramEnd(String workspace, long latencyNs, boolean inTime) {
        programLatenciesNs.add(latencyNs);
        if (inTime) {
            good++;
            inTimeAndStartedByWorkspace.get(workspace)[0]++;
        } else {
            late++;
        }
    }

    /** Records a program that did not complete; {@code deadlineNs} counts as its latency. */
    void recordProgramFailure(long deadlineNs) {
        programLatenciesNs.add(deadlineNs);
        failed++;
    }

    void recordFirstToken(long sinceSubmittedNs, long inEngineNs) {
        firstTokensNs.add(sinceSubmittedNs);
        engineFirstTokensNs.add(inEngineNs);
    }

    void recordAnswer(int prompt, int wasted, int output, long answerNs) {
        promptTokens += prompt;
        wastedTokens += wasted;
        if (output > 1) {
            interTokensNs.add(answerNs / (output - 1));
        }
    }

    /** Records a program whose caller stopped retrying before its first call was admitted. */
    void recordTurnedAway() {
        turnedAway++;
    }

    void recordRefusal() {
        refusals++;
    }

    void recordRetry() {
        retries++;
    }

    RunResult result(double durationS, long leakedTokens) {
        long[] programs = sorted(programLatenciesNs);
        long[] first = sorted(firstTokensNs);
        long[] engineFirst = sorted(engineFirstTokensNs);
        long[] interToken = sorted(interTokensNs);
        return new RunResult(
                programs.length,
                good,
                late,
                failed - turnedAway,
                turnedAway,
                refusals,
                retries,
                percentileMs(programs, 0.5),
                percentileMs(programs, 0.95),
                percentileMs(programs, 0.99),
                percentileMs(first, 0.95),
                percentileMs(engineFirst, 0.95),
                percentileMs(interToken, 0.95),
                promptTokens == 0 ? 0 : (double) wastedTokens / promptTokens,
                good / durationS,
                jainIndex(),
                leakedTokens);
    }

    private double jainIndex() {
        double[] shares =
                inTimeAndStartedByWorkspace.values().stream()
                        .mapToDouble(counts -> (double) counts[0] / counts[1])
                        .toArray();
        double sum = Arrays.stream(shares).sum();
        double squares = Arrays.stream(shares).map(share -> share * share).sum();
        return squares == 0 ? 1 : sum * sum / (shares.length * squares);
    }

    private static long[] sorted(LongStream.Builder values) {
        return values.build().sorted().toArray();
    }

    private static double percentileMs(long[] sorted, double share) {
        if (sorted.length == 0) {
            return 0;
        }
        int index = (int) Math.ceil(share * sorted.length) - 1;
        return sorted[Math.max(0, index)] / NS_PER_MS;
    }
}
