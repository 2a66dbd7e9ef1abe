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

/** Runners on a virtual clock: a batching engine with a prefix cache, and a plain service. */
final class FakeRunners {

    private FakeRunners() {}

    /** One send of a call. */
    record Attempt(
            int owner,
            long callId,
            int number,
            ProgramKey program,
            int promptTokens,
            int outputTokens,
            long serviceNs) {}

    /** Is told what becomes of attempts and caches. */
    interface Listener {
        void firstOutput(Attempt attempt);

        void succeeded(Attempt attempt, int cachedTokens);

        void failed(Attempt attempt, CallFailure failure, long retryAfterMs);

        void cacheChanged(String runner, long sequence, ProgramKey program, int tokens);
    }

    /** What all runners have in common: a queue, faults and load reports. */
    abstract static class FakeRunner {
        private static final int WAITING_PER_SLOT = 2;
        private static final long BUSY_RETRY_MS = 500;

        final String name;
        final String failureDomain;
        final int slots;
        final VirtualClock clock;
        final Listener listener;
        final Deque<Attempt> waiting = new ArrayDeque<>();
        boolean down;
        boolean lies;
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
                listener.failed(attempt, CallFailure.NOT_SENT, 0);
            } else if (waiting.size() >= WAITING_PER_SLOT * slots) {
                listener.failed(attempt, CallFailure.BUSY, BUSY_RETRY_MS);
            } else {
                waiting.add(attempt);
                admit();
            }
        }

        RunnerReport report() {
            int running = lies ? 0 : running();
            int queued = lies ? 0 : waiting.size();
            return new RunnerReport(
                    name, running, queued, cacheUsed(), cacheCapacity(), clock.nowNs());
        }

        void crash() {
            down = true;
            List<Attempt> lost = new ArrayList<>(waiting);
            waiting.clear();
            lost.addAll(dropRunning());
            lost.forEach(attempt -> listener.failed(attempt, CallFailure.BROKEN, 0));
        }

        void restart() {
            down = false;
        }

        abstract void admit();

        abstract void cancel(long callId);

        abstract int running();

        abstract List<Attempt> dropRunning();

        abstract long cacheUsed();

        abstract long cacheCapacity();
    }

    /**
     * A model engine: each step works off a chunk of prompts and gives each answer one token.
     *
     * <p>The time of a step grows with both; the cache drops what was used least recently.
     */
    static final class FakeEngine extends FakeRunner {
        private static final double PREFILL_TOKEN_NS = 1e9 / 8_000;
        private static final double STEP_NS = 12e6;
        private static final double STEP_PER_ANSWER_NS = 0.6e6;
        private static final int CHUNK_TOKENS = 1_024;

        private final double speed;
        private final long cacheCapacityTokens;
        private final LinkedHashMap<ProgramKey, Integer> cache =
                new LinkedHashMap<>(16, 0.75f, true);
        private final List<Sequence> batch = new ArrayList<>();
        private long cachedTokens;
        private long eventSequence;
        private long generation;
        private boolean stepping;

        private static final class Sequence {
            private final Attempt attempt;
            private final int cachedTokens;
            private int prefillLeft;
            private int answered;

            private Sequence(Attempt attempt, int cachedTokens) {
                this.attempt = attempt;
                this.cachedTokens = cachedTokens;
                prefillLeft = Math.max(1, attempt.promptTokens() - cachedTokens);
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
        void admit() {
            while (batch.size() < slots && !waiting.isEmpty()) {
                Attempt attempt = waiting.poll();
                int held = cache.getOrDefault(attempt.program(), 0);
                batch.add(new Sequence(attempt, Math.min(held, attempt.promptTokens() - 1)));
            }
            if (!stepping && !batch.isEmpty()) {
                scheduleStep();
            }
        }

        private void scheduleStep() {
            stepping = true;
            int chunkLeft = CHUNK_TOKENS;
            int answers = 0;
            Map<Sequence, Integer> work = new LinkedHashMap<>();
            for (Sequence sequence : batch) {
                if (sequence.prefillLeft > 0) {
                    int tokens = Math.min(chunkLeft, sequence.prefillLeft);
                    chunkLeft -= tokens;
                    work.put(sequence, tokens);
                } else {
                    answers++;
                    work.put(sequence, 0);
                }
            }
            double stepNs =
                    STEP_NS
                            + (CHUNK_TOKENS - chunkLeft) * PREFILL_TOKEN_NS
                            + answers * STEP_PER_ANSWER_NS;
            long startedIn = generation;
            clock.after(
                    (long) (stepNs * slowdown / speed),
                    () -> {
                        if (startedIn == generation) {
                            finishStep(work);
                        }
                    });
        }

        private void finishStep(Map<Sequence, Integer> work) {
            stepping = false;
            for (Map.Entry<Sequence, Integer> entry : work.entrySet()) {
                Sequence sequence = entry.getKey();
                if (!batch.contains(sequence)) {
                    continue;
                }
                sequence.prefillLeft -= entry.getValue();
                if (sequence.prefillLeft == 0) {
                    sequence.answered++;
                    answer(sequence);
                }
            }
            admit();
        }

        private void answer(Sequence sequence) {
            if (sequence.answered == 1) {
                listener.firstOutput(sequence.attempt);
            }
            if (sequence.answered >= sequence.attempt.outputTokens()) {
                batch.remove(sequence);
                Attempt attempt = sequence.attempt;
                hold(attempt.program(), attempt.promptTokens() + attempt.outputTokens());
                listener.succeeded(attempt, sequence.cachedTokens);
            }
        }

        private void hold(ProgramKey program, int tokens) {
            Integer before = cache.put(program, tokens);
            cachedTokens += tokens - (before == null ? 0 : before);
            listener.cacheChanged(name, ++eventSequence, program, tokens);
            Iterator<Map.Entry<ProgramKey, Integer>> eldest = cache.entrySet().iterator();
            while (cachedTokens > cacheCapacityTokens && eldest.hasNext()) {
                Map.Entry<ProgramKey, Integer> entry = eldest.next();
                cachedTokens -= entry.getValue();
                eldest.remove();
                listener.cacheChanged(name, ++eventSequence, entry.getKey(), 0);
            }
        }

        void release(ProgramKey program) {
            Integer tokens = cache.remove(program);
            if (tokens != null) {
                cachedTokens -= tokens;
                listener.cacheChanged(name, ++eventSequence, program, 0);
            }
        }

        /** Tokens held for programs that {@code live} does not hold. */
        long heldForOthers(Map<ProgramKey, ?> live) {
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
            eventSequence = 0;
            generation++;
            stepping = false;
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

    /** A plain service that runs a bounded number of calls side by side. */
    static final class FakeService extends FakeRunner {
        private final double speed;
        private final Map<Long, Attempt> inService = new HashMap<>();

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
        void admit() {
            while (inService.size() < slots && !waiting.isEmpty()) {
                Attempt attempt = waiting.poll();
                inService.put(attempt.callId(), attempt);
                long durationNs = (long) (attempt.serviceNs() * slowdown / speed);
                clock.after(durationNs, () -> finish(attempt));
            }
        }

        private void finish(Attempt attempt) {
            if (inService.remove(attempt.callId(), attempt)) {
                listener.succeeded(attempt, 0);
                admit();
            }
        }

        @Override
        void cancel(long callId) {
            waiting.removeIf(attempt -> attempt.callId() == callId);
            inService.remove(callId);
            admit();
        }

        @Override
        List<Attempt> dropRunning() {
            List<Attempt> attempts = new ArrayList<>(inService.values());
            inService.clear();
            return attempts;
        }

        @Override
        int running() {
            return inService.size();
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

    /** Noise on what a runner tells: reports and cache events come late, some events not at all. */
    record Noise(double lostEventShare, long minLateNs, long maxLateNs, Random random) {
        boolean losesEvent() {
            return random.nextDouble() < lostEventShare;
        }

        long lateNs() {
            return minLateNs + (long) (random.nextDouble() * (maxLateNs - minLateNs));
        }
    }
}
