package org.skylarkmast.bench.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.core.scheduling.RunnerReport;

/** Fake runners on a virtual clock: a batching engine with a prefix cache, and a plain service. */
final class FakeRunners {

    private FakeRunners() {}

    /** One attempt to run a call. */
    record Attempt(
            int owner,
            long callId,
            int number,
            ProgramKey program,
            int promptTokens,
            int outputTokens,
            long serviceNs) {}

    /** Receives the outcomes of attempts and the changes of caches. */
    interface Listener {
        void onFirstOutput(Attempt attempt);

        void onSucceeded(Attempt attempt, int cachedTokens);

        void onFailed(Attempt attempt, CallFailure failure, long retryAfterMs);

        void onCacheChanged(String runner, long sequence, ProgramKey program, int tokens);
    }

    /** Common base of all runners: a queue, injected faults and load reports. */
    abstract static class FakeRunner {
        private static final int MAX_WAITING_PER_SLOT = 2;
        private static final long BUSY_RETRY_AFTER_MS = 500;

        final String name;
        final String failureDomain;
        final int slots;
        final VirtualClock clock;
        final Listener listener;
        final Deque<Attempt> waiting = new ArrayDeque<>();
        boolean down;
        boolean reportsIdle;
        double slowdown = 1;

        FakeRunner(
                String name,
                String failureDomain,
                int slots,
                VirtualClock clock,
                Listener listener) {
            this.name = name;
            this.failureDomain = failureDomain;
            this.slots = slots;
            this.clock = clock;
            this.listener = listener;
        }

        void accept(Attempt attempt) {
            if (down) {
                listener.onFailed(attempt, CallFailure.NOT_SENT, 0);
            } else if (waiting.size() >= MAX_WAITING_PER_SLOT * slots) {
                listener.onFailed(attempt, CallFailure.BUSY, BUSY_RETRY_AFTER_MS);
            } else {
                waiting.add(attempt);
                startWaiting();
            }
        }

        RunnerReport report() {
            int running = reportsIdle ? 0 : running();
            int queued = reportsIdle ? 0 : waiting.size();
            return new RunnerReport(
                    name, running, queued, cacheUsed(), cacheCapacity(), clock.nowNs());
        }

        void crash() {
            down = true;
            List<Attempt> lost = new ArrayList<>(waiting);
            waiting.clear();
            lost.addAll(dropRunning());
            lost.forEach(attempt -> listener.onFailed(attempt, CallFailure.BROKEN, 0));
        }

        void restart() {
            down = false;
        }

        abstract void startWaiting();

        abstract void cancel(long callId);

        abstract int running();

        abstract List<Attempt> dropRunning();

        abstract long cacheUsed();

        abstract long cacheCapacity();
    }

    /**
     * A model engine with chunked prefill: each step processes at most one chunk of prompt tokens
     * and generates one token for each sequence that is past its prefill.
     *
     * <p>The duration of a step grows with both numbers. The cache evicts the least recently used
     * program.
     */
    static final class FakeEngine extends FakeRunner {
        private static final double PREFILL_NS_PER_TOKEN = 1e9 / 8_000;
        private static final double STEP_BASE_NS = 12e6;
        private static final double DECODE_NS_PER_SEQUENCE = 0.6e6;
        private static final int CHUNK_TOKENS = 1_024;

        private final double speed;
        private final long cacheCapacityTokens;
        private final LinkedHashMap<ProgramKey, Integer> cache =
                new LinkedHashMap<>(16, 0.75f, true);
        private final List<Sequence> batch = new ArrayList<>();
        private long cachedTokens;
        private long lastEventSequence;
        private long generation;
        private boolean stepScheduled;

        private static final class Sequence {
            private final Attempt attempt;
            private final int cachedTokens;
            private int remainingPrefillTokens;
            private int generatedTokens;

            private Sequence(Attempt attempt, int cachedTokens) {
                this.attempt = attempt;
                this.cachedTokens = cachedTokens;
                remainingPrefillTokens = Math.max(1, attempt.promptTokens() - cachedTokens);
            }
        }

        FakeEngine(
                String name,
                String failureDomain,
                int slots,
                double speed,
                long cacheCapacityTokens,
                VirtualClock clock,
                Listener listener) {
            super(name, failureDomain, slots, clock, listener);
            this.speed = speed;
            this.cacheCapacityTokens = cacheCapacityTokens;
        }

        @Override
        void startWaiting() {
            while (batch.size() < slots && !waiting.isEmpty()) {
                Attempt attempt = waiting.poll();
                int cached = cache.getOrDefault(attempt.program(), 0);
                batch.add(new Sequence(attempt, Math.min(cached, attempt.promptTokens() - 1)));
            }
            if (!stepScheduled && !batch.isEmpty()) {
                scheduleStep();
            }
        }

        private void scheduleStep() {
            stepScheduled = true;
            int remainingChunkTokens = CHUNK_TOKENS;
            int decodingSequences = 0;
            Map<Sequence, Integer> tokensBySequence = new LinkedHashMap<>();
            for (Sequence sequence : batch) {
                if (sequence.remainingPrefillTokens > 0) {
                    int tokens = Math.min(remainingChunkTokens, sequence.remainingPrefillTokens);
                    remainingChunkTokens -= tokens;
                    tokensBySequence.put(sequence, tokens);
                } else {
                    decodingSequences++;
                    tokensBySequence.put(sequence, 0);
                }
            }
            double stepNs =
                    STEP_BASE_NS
                            + (CHUNK_TOKENS - remainingChunkTokens) * PREFILL_NS_PER_TOKEN
                            + decodingSequences * DECODE_NS_PER_SEQUENCE;
            long scheduledGeneration = generation;
            clock.schedule(
                    (long) (stepNs * slowdown / speed),
                    () -> {
                        if (scheduledGeneration == generation) {
                            finishStep(tokensBySequence);
                        }
                    });
        }

        private void finishStep(Map<Sequence, Integer> tokensBySequence) {
            stepScheduled = false;
            for (Map.Entry<Sequence, Integer> entry : tokensBySequence.entrySet()) {
                Sequence sequence = entry.getKey();
                if (!batch.contains(sequence)) {
                    continue;
                }
                sequence.remainingPrefillTokens -= entry.getValue();
                if (sequence.remainingPrefillTokens == 0) {
                    sequence.generatedTokens++;
                    onTokenGenerated(sequence);
                }
            }
            startWaiting();
        }

        private void onTokenGenerated(Sequence sequence) {
            if (sequence.generatedTokens == 1) {
                listener.onFirstOutput(sequence.attempt);
            }
            if (sequence.generatedTokens >= sequence.attempt.outputTokens()) {
                batch.remove(sequence);
                Attempt attempt = sequence.attempt;
                putInCache(attempt.program(), attempt.promptTokens() + attempt.outputTokens());
                listener.onSucceeded(attempt, sequence.cachedTokens);
            }
        }

        private void putInCache(ProgramKey program, int tokens) {
            Integer previousTokens = cache.put(program, tokens);
            cachedTokens += tokens - (previousTokens == null ? 0 : previousTokens);
            listener.onCacheChanged(name, ++lastEventSequence, program, tokens);
            Iterator<Map.Entry<ProgramKey, Integer>> leastRecentlyUsed =
                    cache.entrySet().iterator();
            while (cachedTokens > cacheCapacityTokens && leastRecentlyUsed.hasNext()) {
                Map.Entry<ProgramKey, Integer> entry = leastRecentlyUsed.next();
                cachedTokens -= entry.getValue();
                leastRecentlyUsed.remove();
                listener.onCacheChanged(name, ++lastEventSequence, entry.getKey(), 0);
            }
        }

        void release(ProgramKey program) {
            Integer tokens = cache.remove(program);
            if (tokens != null) {
                cachedTokens -= tokens;
                listener.onCacheChanged(name, ++lastEventSequence, program, 0);
            }
        }

        /** Cached tokens of programs that are not in {@code live}. */
        long cachedTokensOfOthers(Map<ProgramKey, ?> live) {
            return cache.entrySet().stream()
                    .filter(entry -> !live.containsKey(entry.getKey()))
                    .mapToLong(Map.Entry::getValue)
                    .sum();
        }

        @Override
        void cancel(long callId) {
            waiting.removeIf(attempt -> attempt.callId() == callId);
            batch.removeIf(sequence -> sequence.attempt.callId() == callId);
        }

        @Override
        List<Attempt> dropRunning() {
            List<Attempt> attempts = batch.stream().map(sequence -> sequence.attempt).toList();
            batch.clear();
            cache.clear();
            cachedTokens = 0;
            lastEventSequence = 0;
            generation++;
            stepScheduled = false;
            return attempts;
        }

        @Override
        int running() {
            return batch.size();
        }

        @Override
        long cacheUsed() {
            return cachedTokens;
        }

        @Override
        long cacheCapacity() {
            return cacheCapacityTokens;
        }
    }

    /** A plain service that runs a bounded number of calls concurrently. */
    static final class FakeService extends FakeRunner {
        private final double speed;
        private final Map<Long, Attempt> runningAttempts = new HashMap<>();

        FakeService(
                String name,
                String failureDomain,
                int slots,
                double speed,
                VirtualClock clock,
                Listener listener) {
            super(name, failureDomain, slots, clock, listener);
            this.speed = speed;
        }

        @Override
        void startWaiting() {
            while (runningAttempts.size() < slots && !waiting.isEmpty()) {
                Attempt attempt = waiting.poll();
                runningAttempts.put(attempt.callId(), attempt);
                long durationNs = (long) (attempt.serviceNs() * slowdown / speed);
                clock.schedule(durationNs, () -> finish(attempt));
            }
        }

        private void finish(Attempt attempt) {
            if (runningAttempts.remove(attempt.callId(), attempt)) {
                listener.onSucceeded(attempt, 0);
                startWaiting();
            }
        }

        @Override
        void cancel(long callId) {
            waiting.removeIf(attempt -> attempt.callId() == callId);
            runningAttempts.remove(callId);
            startWaiting();
        }

        @Override
        List<Attempt> dropRunning() {
            List<Attempt> attempts = new ArrayList<>(runningAttempts.values());
            runningAttempts.clear();
            return attempts;
        }

        @Override
        int running() {
            return runningAttempts.size();
        }

        @Override
        long cacheUsed() {
            return 0;
        }

        @Override
        long cacheCapacity() {
            return 0;
        }
    }

    /**
     * Random noise on what runners report: load reports and cache events are delayed, and a share
     * of the cache events is lost.
     */
    record Noise(double lostEventShare, long minDelayNs, long maxDelayNs, Random random) {
        boolean losesEvent() {
            return random.nextDouble() < lostEventShare;
        }

        long delayNs() {
            return minDelayNs + (long) (random.nextDouble() * (maxDelayNs - minDelayNs));
        }
    }
}
