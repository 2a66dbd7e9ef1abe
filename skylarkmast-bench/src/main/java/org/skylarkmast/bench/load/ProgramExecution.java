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

/** Executes one program; each sub-agent runs on its own thread. */
final class ProgramExecution {
    private final Function<CallerRequest, CallerOutcome> caller;
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicLong cachedTokens = new AtomicLong();
    private final AtomicLong computedTokens = new AtomicLong();
    private final Map<String, Long> longestPromptTokens = new ConcurrentHashMap<>();

    ProgramExecution(Function<CallerRequest, CallerOutcome> caller) {
        this.caller = caller;
    }

    ProgramResult run(ProgramScript script) {
        long startNs = System.nanoTime();
        long pausedMs = runSteps(script);
        long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
        return new ProgramResult(
                script,
                elapsedMs - pausedMs,
                calls.get(),
                failed.get(),
                cachedTokens.get(),
                computedTokens.get(),
                longestPromptTokens.values().stream().mapToLong(Long::longValue).sum());
    }

    /** Runs the steps; returns the time of this script's own tool pauses, without sub-agents. */
    private long runSteps(ProgramScript script) {
        long pausedMs = 0;
        for (Step step : script.steps()) {
            if (failed.get() > 0 || Thread.currentThread().isInterrupted()) {
                break;
            }
            switch (step) {
                case Step.Call call -> sendCall(call);
                case Step.Pause pause -> {
                    Await.pause(pause.ms());
                    pausedMs += pause.ms();
                }
                case Step.SubAgents agents -> runSubAgents(agents.scripts());
            }
        }
        return pausedMs;
    }

    private void sendCall(Step.Call call) {
        switch (caller.apply(call.request())) {
            case CallerOutcome.Succeeded succeeded -> {
                calls.incrementAndGet();
                cachedTokens.addAndGet(succeeded.cachedTokens());
                computedTokens.addAndGet(succeeded.computedTokens());
                longestPromptTokens.merge(
                        call.request().program(),
                        succeeded.cachedTokens() + succeeded.computedTokens(),
                        Math::max);
            }
            case CallerOutcome.Refused ignored -> failed.incrementAndGet();
            case CallerOutcome.Disconnected ignored -> failed.incrementAndGet();
        }
    }

    private void runSubAgents(List<ProgramScript> scripts) {
        List<Thread> threads = new ArrayList<>();
        for (ProgramScript script : scripts) {
            threads.add(Thread.ofVirtual().start(() -> runSteps(script)));
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
