package org.skylarkmast.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.skylarkmast.bench.caller.CallerOutcome;
import org.skylarkmast.bench.caller.CallerRequest;
import org.skylarkmast.bench.cluster.Await;

/** Carries out one program; sub-agents run on threads of their own. */
final class ProgramRun {
    private final Function<CallerRequest, CallerOutcome> caller;
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicLong cachedTokens = new AtomicLong();
    private final AtomicLong computedTokens = new AtomicLong();
    private final Map<String, Long> longestPrompts = new ConcurrentHashMap<>();

    ProgramRun(Function<CallerRequest, CallerOutcome> caller) {
        this.caller = caller;
    }

    ProgramResult run(ProgramScript script) {
        long startNs = System.nanoTime();
        long pausedMs = steps(script);
        long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
        return new ProgramResult(
                script,
                elapsedMs - pausedMs,
                calls.get(),
                failed.get(),
                cachedTokens.get(),
                computedTokens.get(),
                longestPrompts.values().stream().mapToLong(Long::longValue).sum());
    }

    /** Returns the time that the program's own tool pauses took. */
    private long steps(ProgramScript script) {
        long pausedMs = 0;
        for (Step step : script.steps()) {
            if (failed.get() > 0 || Thread.currentThread().isInterrupted()) {
                break;
            }
            switch (step) {
                case Step.Call call -> call(call);
                case Step.Pause pause -> {
                    Await.pause(pause.ms());
                    pausedMs += pause.ms();
                }
                case Step.SubAgents agents -> subAgents(agents.scripts());
            }
        }
        return pausedMs;
    }

    private void call(Step.Call call) {
        switch (caller.apply(call.request())) {
            case CallerOutcome.Succeeded done -> {
                calls.incrementAndGet();
                cachedTokens.addAndGet(done.cachedTokens());
                computedTokens.addAndGet(done.computedTokens());
                longestPrompts.merge(
                        call.request().program(),
                        done.cachedTokens() + done.computedTokens(),
                        Math::max);
            }
            case CallerOutcome.Refused ignored -> failed.incrementAndGet();
            case CallerOutcome.Disconnected ignored -> failed.incrementAndGet();
        }
    }

    private void subAgents(List<ProgramScript> scripts) {
        List<Thread> threads = new ArrayList<>();
        for (ProgramScript script : scripts) {
            threads.add(Thread.ofVirtual().start(() -> steps(script)));
        }
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                threads.forEach(Thread::interrupt);
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
