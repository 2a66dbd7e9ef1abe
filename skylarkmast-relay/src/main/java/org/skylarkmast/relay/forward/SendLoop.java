package org.skylarkmast.relay.forward;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.relay.route.Route;
import org.skylarkmast.relay.route.RouteKind;
import org.skylarkmast.relay.runner.Runner;
import org.skylarkmast.relay.runner.RunnerPool;

/**
 * Sends one request to runners until it is answered, must not be sent again or its time is over.
 *
 * <p>A request that may have run goes out again only where its route allows it, and to no more
 * runners than the route's limit; runners that are gone do not count. Used by one thread.
 */
final class SendLoop {

    /** First pause before runners that had no room are tried again; it doubles each time. */
    private static final long FIRST_FULL_PAUSE_MS = 10;

    private static final long MAX_FULL_PAUSE_MS = 80;

    /** Pause while a service has no usable runner. */
    private static final long NO_RUNNER_PAUSE_MS = 30;

    /** Cost of a failure that a retry can repair: about one more answer. */
    private static final double REPEAT_COST_MS = 200;

    /** Multiple of the usual answer time after which an idempotent request is retried elsewhere. */
    private static final double SILENCE_FACTOR = 6;

    /** Silence that is no sign of a fault: a queue at the runner, a lost packet on the way. */
    private static final long LEAST_SILENCE_MS = 300;

    /** Part of its objective that a request waits for a service without runners. */
    private static final int NO_RUNNER_DIVISOR = 4;

    /** When a service without runners is asked again: runners register about every second. */
    private static final long NO_RUNNER_RETRY_MS = 1000;

    /** Sends of a repeatable request that may have run before it is given up. */
    private static final int MAX_REPEATS = 3;

    /** Sends in all, so that one request does not try forever against refusing runners. */
    private static final int MAX_SENDS = 200;

    private final RunnerPool pool;
    private final RunnerSend sender;
    private final Route route;
    private final String service;
    private final RunnerSend.Outgoing request;
    private final Exchange exchange;
    private final AnswerSink sink;

    /** Runners that may have run the request, by incarnation. */
    private final Map<String, Runner> used = new LinkedHashMap<>();

    private final Set<String> excluded = new HashSet<>();
    private final long startedNs = System.nanoTime();
    private String lastRunner = "";
    private long fullPauseMs = FIRST_FULL_PAUSE_MS;
    private int sends;
    private int repeats;

    SendLoop(
            RunnerPool pool,
            RunnerSend sender,
            Route route,
            String service,
            RunnerSend.Outgoing request,
            Exchange exchange,
            AnswerSink sink) {
        this.pool = pool;
        this.sender = sender;
        this.route = route;
        this.service = service;
        this.request = request;
        this.exchange = exchange;
        this.sink = sink;
    }

    /** The result of all sends; a refusal is set if the caller gets an answer of our own. */
    record End(SendResult result, Refusal refusal) {}

    String lastRunner() {
        return lastRunner;
    }

    int sends() {
        return sends;
    }

    /** Whether a runner may have begun to work on the request. */
    boolean mayHaveRun() {
        return !used.isEmpty();
    }

    End run() throws InterruptedException {
        SendResult last = new SendResult.NotRun(false, "not sent");
        while (true) {
            if (exchange.isCallerGone()) {
                return new End(new SendResult.CallerLost("caller closed"), null);
            }
            if (exchange.isExpired() || sends >= MAX_SENDS) {
                return new End(last, outOfTime(last));
            }
            Runner runner = choose();
            if (runner == null) {
                if (hopeless()) {
                    Refusal refusal = Refusal.notRun(NO_RUNNER_RETRY_MS, "no runner is registered");
                    return new End(last, refusal);
                }
                pauseForRunner();
                continue;
            }
            sends++;
            lastRunner = runner.id();
            last = sender.send(outgoing(runner), runner, exchange, sink);
            End end = judge(last, runner);
            if (end != null) {
                return end;
            }
        }
    }

    /** Decides whether {@code result} ends the request. */
    private End judge(SendResult result, Runner runner) {
        return switch (result) {
            case SendResult.Delivered delivered -> new End(delivered, null);
            case SendResult.CallerLost lost -> {
                used.put(runner.incarnation(), runner);
                yield new End(lost, null);
            }
            case SendResult.NotRun notRun -> {
                excluded.add(runner.incarnation());
                if (!notRun.full()) {
                    // It is not there any more, so it does not count against the limit.
                    used.remove(runner.incarnation());
                }
                yield null;
            }
            case SendResult.MayHaveRun mayHaveRun -> {
                used.put(runner.incarnation(), runner);
                excluded.add(runner.incarnation());
                if (mayRepeat()) {
                    yield null;
                }
                yield new End(
                        mayHaveRun,
                        exchange.isExpired()
                                ? outOfTime(mayHaveRun)
                                : Refusal.mayHaveRun(mayHaveRun.reason()));
            }
            case SendResult.BrokenOff brokenOff -> {
                used.put(runner.incarnation(), runner);
                boolean goesOn = mayRepeat() && !sink.lastEventId().isEmpty();
                yield goesOn ? null : new End(brokenOff, null);
            }
        };
    }

    /** An idempotent request does not wait for a silent runner while another may be asked. */
    private RunnerSend.Outgoing outgoing(Runner runner) {
        boolean elsewhere = used.size() + 1 < route.maxAttempts() && repeats < MAX_REPEATS;
        if (route.kind() != RouteKind.IDEMPOTENT || !elsewhere) {
            return request;
        }
        double usualMs = pool.expectedMsPerUnit(runner) * request.units();
        return request.withSilenceMs(Math.max(LEAST_SILENCE_MS, (long) (usualMs * SILENCE_FACTOR)));
    }

    private boolean mayRepeat() {
        repeats++;
        return route.retryable() && repeats <= MAX_REPEATS && !exchange.isOver();
    }

    private Runner choose() {
        used.values().removeIf(runner -> !pool.isRegistered(runner));
        if (used.size() >= route.maxAttempts()) {
            for (Runner runner : used.values()) {
                if (!excluded.contains(runner.incarnation())) {
                    return runner;
                }
            }
            return null;
        }
        double failureCostMs = route.retryable() ? REPEAT_COST_MS : route.timeoutMs();
        return pool.choose(service, request.units(), request.prompt(), failureCostMs, excluded);
    }

    /** Whether no runner can take the request, and has not for a while. */
    private boolean hopeless() {
        long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
        return !pool.hasAvailableRunners(service)
                && !mayHaveRun()
                && waitedMs >= route.objectiveMs() / NO_RUNNER_DIVISOR;
    }

    private void pauseForRunner() throws InterruptedException {
        boolean any = pool.hasAvailableRunners(service);
        exchange.pause(any ? fullPauseMs : NO_RUNNER_PAUSE_MS);
        fullPauseMs = Math.min(MAX_FULL_PAUSE_MS, fullPauseMs * 2);
        excluded.clear();
    }

    private Refusal outOfTime(SendResult last) {
        if (mayHaveRun()) {
            return Refusal.timedOut("no answer in time");
        }
        String reason = last instanceof SendResult.NotRun notRun ? notRun.reason() : "no time left";
        return Refusal.notRun(100, reason);
    }
}
