package org.skylarkmast.relay.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import org.skylarkmast.relay.limit.RunnerRateLimits;
import org.skylarkmast.relay.limit.SendAdmission;
import org.skylarkmast.relay.route.Route;
import org.skylarkmast.relay.route.RouteKind;
import org.skylarkmast.relay.runner.Runner;
import org.skylarkmast.relay.runner.RunnerPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends a request to runners until it is answered, must not be sent again, or its deadline passes.
 *
 * <p>A request that may have run is sent again only if its route allows that, and to no more
 * runners than the route's limit; runners that are gone do not count. Confined to one thread.
 */
final class RetryLoop {
    private static final Logger LOG = LoggerFactory.getLogger(RetryLoop.class);

    /** First back-off before overloaded runners are tried again; it doubles each time. */
    private static final long INITIAL_OVERLOAD_BACKOFF_MS = 10;

    private static final long MAX_OVERLOAD_BACKOFF_MS = 80;

    /** Back-off while a service has no available runner. */
    private static final long NO_RUNNER_BACKOFF_MS = 30;

    /** Cost of a failure after which the request can be retried: about the time of one answer. */
    private static final double RETRY_COST_MS = 200;

    /** Multiple of the expected time after which an idempotent request is retried elsewhere. */
    private static final double HEAD_TIMEOUT_FACTOR = 6;

    /**
     * Minimum head time-out; a queue at the runner or a lost packet can delay an answer as long.
     */
    private static final long MIN_HEAD_TIMEOUT_MS = 300;

    /** Divisor of the latency objective for the time a request waits for any runner to register. */
    private static final int NO_RUNNER_WAIT_DIVISOR = 4;

    /** Retry-After if a service has no runners; runners register about every second. */
    private static final long NO_RUNNER_RETRY_AFTER_MS = 1000;

    /** Retry-After if a stream cannot be resumed: its caller can start a new one. */
    private static final long ORIGIN_GONE_RETRY_AFTER_MS = 100;

    /**
     * Divisor of the latency objective for the time that a request of a new program waits for a
     * runner at its rate limit. Requests of programs under way wait longer, so they go first.
     */
    private static final int NEW_PROGRAM_LIMIT_WAIT_DIVISOR = 4;

    /** Divisor of the remaining time for the time that any request waits for a rate limit. */
    private static final int LIMIT_WAIT_DIVISOR = 3;

    /** Maximum number of retries of a request that may have run. */
    private static final int MAX_RETRIES = 3;

    /** Maximum number of sends, so that a request is not sent forever to runners that reject it. */
    private static final int MAX_SENDS = 200;

    private final RunnerPool pool;
    private final RunnerRateLimits limits;
    private final RequestSender sender;
    private final Function<Runner, SendObserver> observers;
    private final Route route;
    private final String service;
    private final OutboundRequest request;
    private final Exchange exchange;
    private final AnswerWriter writer;
    private final OriginBinding binding;
    private final boolean continuesProgram;
    private final CrashGuard crashGuard;
    private final BooleanSupplier mayLeaveToPeer;
    private final RateLimitWait rateLimitWait;

    private final AttemptedRunners attemptedRunners;

    private final Set<String> excludedIncarnations = new HashSet<>();
    private final long startedNs = System.nanoTime();
    private String lastRunner = "";
    private String lastRunnerVersion = "";
    private long overloadBackoffMs = INITIAL_OVERLOAD_BACKOFF_MS;
    private OptionalDouble lastRunnerLimit = OptionalDouble.empty();
    private int sends;
    private int sendsToLimitedRunners;
    private int retries;

    /**
     * @param observers returns the observer of a send to a runner
     * @param continuesProgram whether the request belongs to a program that has got answers before
     * @param crashGuard tells whether the request may be sent to further runners
     * @param mayLeaveToPeer whether this node reaches no runner and another may serve the request
     */
    RetryLoop(
            RunnerPool pool,
            SendAdmission admission,
            RequestSender sender,
            Function<Runner, SendObserver> observers,
            Route route,
            String service,
            OutboundRequest request,
            Exchange exchange,
            AnswerWriter writer,
            OriginBinding binding,
            boolean continuesProgram,
            CrashGuard crashGuard,
            BooleanSupplier mayLeaveToPeer) {
        this.pool = pool;
        this.limits = admission.limits();
        this.sender = sender;
        this.observers = observers;
        this.route = route;
        this.service = service;
        this.request = request;
        this.exchange = exchange;
        this.writer = writer;
        this.binding = binding;
        this.continuesProgram = continuesProgram;
        this.crashGuard = crashGuard;
        this.mayLeaveToPeer = mayLeaveToPeer;
        this.attemptedRunners = new AttemptedRunners(route.maxAttempts());
        this.rateLimitWait =
                new RateLimitWait(
                        admission,
                        request.requestId(),
                        exchange,
                        this::maxLimitWaitMs,
                        pool::isAvailable);
    }

    String lastRunner() {
        return lastRunner;
    }

    String lastRunnerVersion() {
        return lastRunnerVersion;
    }

    /** The rate limit of the last runner when the request was sent to it, if it had one. */
    OptionalDouble lastRunnerLimit() {
        return lastRunnerLimit;
    }

    /** Time that the request waited for rate limits, in ms. */
    long limitDelayMs() {
        return rateLimitWait.delayMs();
    }

    int sends() {
        return sends;
    }

    int sendsToLimitedRunners() {
        return sendsToLimitedRunners;
    }

    AttemptedRunners attemptedRunners() {
        return attemptedRunners;
    }

    RetryOutcome run() throws InterruptedException {
        SendResult last = new SendResult.NotRun(false, "not sent");
        while (true) {
            if (exchange.isCallerDisconnected()) {
                return new RetryOutcome(new SendResult.CallerLost("caller closed"), null);
            }
            if (exchange.isExpired() || sends >= MAX_SENDS) {
                return new RetryOutcome(last, timeoutRefusal(last));
            }
            if (mayLeaveToPeer.getAsBoolean()
                    && !writer.hasBegun()
                    && attemptedRunners.remaining() > 0) {
                return new RetryOutcome(last, null, true);
            }
            Optional<Refusal> refusal = crashGuard.refusal();
            if (refusal.isPresent()) {
                return cannotContinue(last, refusal.get().retryAfterMs(), refusal.get().reason());
            }
            Optional<Refusal> notAllowed = request.sendCheck().get();
            if (notAllowed.isPresent()) {
                return cannotContinue(last, notAllowed.get());
            }
            Runner runner = chooseRunner();
            if (runner == null) {
                RetryOutcome outcome = withoutRunner(last);
                if (outcome != null) {
                    return outcome;
                }
                continue;
            }
            if (!rateLimitWait.await(runner)) {
                continue;
            }
            sends++;
            if (!writer.lastEventId().isEmpty()) {
                logResume(runner);
            }
            lastRunner = runner.id();
            lastRunnerVersion = runner.softwareVersion();
            lastRunnerLimit = limits.of(runner);
            sendsToLimitedRunners += lastRunnerLimit.isPresent() ? 1 : 0;
            last = send(runner);
            RetryOutcome outcome = evaluate(last, runner);
            if (outcome != null) {
                return outcome;
            }
        }
    }

    private SendResult send(Runner runner) throws InterruptedException {
        long sentNs = System.nanoTime();
        writer.setRunner(runner);
        SendResult result =
                sender.send(
                        outboundRequest(runner),
                        Destination.of(runner),
                        observers.apply(runner),
                        exchange,
                        writer);
        boolean broke =
                result instanceof SendResult.MayHaveRun || result instanceof SendResult.BrokenOff;
        if (broke && !writer.hasEvents() && !exchange.isCancelled()) {
            long heldMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNs);
            crashGuard.exchangeBroke(runner, heldMs);
        } else if (result instanceof SendResult.Delivered) {
            crashGuard.completed();
        }
        return result;
    }

    /** Returns the outcome if the request gives up, or null if it looks for a runner again. */
    private RetryOutcome withoutRunner(SendResult last) throws InterruptedException {
        if (isOriginGone()) {
            return cannotContinue(
                    last,
                    ORIGIN_GONE_RETRY_AFTER_MS,
                    "no runner of the software version that began the stream");
        }
        if (isEveryAllowedRunnerLeaving()) {
            return cannotContinue(
                    last, NO_RUNNER_RETRY_AFTER_MS, "the runners that it was sent to are leaving");
        }
        if (rateLimitWait.isDenied()) {
            if (rateLimitWait.extend()) {
                return null;
            }
            if (excludedIncarnations.isEmpty() || elapsedMs() >= maxLimitWaitMs()) {
                return cannotContinue(
                        last,
                        rateLimitWait.shortestMs(),
                        "all available runners are at their rate limits");
            }
        }
        if (hasWaitedTooLongForRunner()) {
            Refusal refusal = Refusal.notRun(NO_RUNNER_RETRY_AFTER_MS, "no runner is registered");
            return new RetryOutcome(last, refusal);
        }
        backOff();
        return null;
    }

    private long maxLimitWaitMs() {
        long objectiveMs = route.objectiveMs();
        long waitMs = continuesProgram ? objectiveMs : objectiveMs / NEW_PROGRAM_LIMIT_WAIT_DIVISOR;
        return Math.max(0, Math.min(waitMs, exchange.remainingMs() / LIMIT_WAIT_DIVISOR));
    }

    private void logResume(Runner runner) {
        LOG.atInfo()
                .addKeyValue("event", "stream_resumed")
                .addKeyValue("request", request.requestId())
                .addKeyValue("afterEvent", writer.lastEventId())
                .addKeyValue("fromRunner", lastRunner)
                .addKeyValue("fromVersion", lastRunnerVersion)
                .addKeyValue("toRunner", runner.id())
                .addKeyValue("toVersion", runner.softwareVersion())
                .log();
    }

    /** Returns the outcome if {@code result} is final, or null if the request is sent again. */
    private RetryOutcome evaluate(SendResult result, Runner runner) {
        return switch (result) {
            case SendResult.Delivered delivered -> new RetryOutcome(delivered, null);
            case SendResult.CallerLost lost -> {
                attemptedRunners.add(runner);
                yield new RetryOutcome(lost, null);
            }
            case SendResult.NotRun notRun -> {
                excludedIncarnations.add(runner.incarnation());
                if (!notRun.overloaded()) {
                    // This incarnation is gone, so it does not count against the limit.
                    attemptedRunners.discount(runner);
                }
                yield null;
            }
            case SendResult.MayHaveRun mayHaveRun -> {
                attemptedRunners.add(runner);
                excludedIncarnations.add(runner.incarnation());
                if (tryConsumeRetry()) {
                    yield null;
                }
                yield new RetryOutcome(
                        mayHaveRun,
                        exchange.isExpired()
                                ? timeoutRefusal(mayHaveRun)
                                : Refusal.mayHaveRun(mayHaveRun.reason()));
            }
            case SendResult.NotContinued notContinued -> {
                attemptedRunners.add(runner);
                excludedIncarnations.add(runner.incarnation());
                yield tryConsumeRetry() ? null : new RetryOutcome(notContinued, null);
            }
            case SendResult.BrokenOff brokenOff -> {
                attemptedRunners.add(runner);
                boolean resumes = tryConsumeRetry() && !writer.lastEventId().isEmpty();
                yield resumes ? null : new RetryOutcome(brokenOff, null);
            }
        };
    }

    /**
     * Returns the request, with a head time-out if it is idempotent and can be retried elsewhere.
     */
    private OutboundRequest outboundRequest(Runner runner) {
        boolean canRetryElsewhere = attemptedRunners.remaining() > 1 && retries < MAX_RETRIES;
        if (route.kind() != RouteKind.IDEMPOTENT || !canRetryElsewhere) {
            return request;
        }
        double expectedMs = pool.expectedMsPerUnit(runner) * request.units();
        return request.withHeadTimeoutMs(
                Math.max(MIN_HEAD_TIMEOUT_MS, (long) (expectedMs * HEAD_TIMEOUT_FACTOR)));
    }

    /** Counts a retry; returns whether it is allowed. */
    private boolean tryConsumeRetry() {
        retries++;
        return route.retryable() && retries <= MAX_RETRIES && !exchange.isCancelled();
    }

    /** Whether the stream has begun and no runner that may continue it is left. */
    private boolean isOriginGone() {
        return binding.isFixed() && !pool.hasAvailableRunners(service, binding::allows);
    }

    /** Whether no further runner is allowed, and those that were tried take no new requests. */
    private boolean isEveryAllowedRunnerLeaving() {
        return attemptedRunners.remaining() <= 0
                && attemptedRunners.counted().stream().noneMatch(pool::isAvailable);
    }

    /** Gives up a request for which there is no runner, as not run where that is certain. */
    private RetryOutcome cannotContinue(SendResult last, long retryAfterMs, String reason) {
        return cannotContinue(last, Refusal.notRun(retryAfterMs, reason));
    }

    private RetryOutcome cannotContinue(SendResult last, Refusal refusal) {
        return writer.hasBegun()
                ? new RetryOutcome(new SendResult.BrokenOff(refusal.reason()), null)
                : new RetryOutcome(last, refusal.ifMayHaveRun(attemptedRunners.mayHaveRun()));
    }

    private Runner chooseRunner() throws InterruptedException {
        attemptedRunners.retain(pool::isRegistered);
        if (attemptedRunners.remaining() <= 0) {
            for (Runner runner : attemptedRunners.counted()) {
                boolean mayRun = pool.isAvailable(runner) && binding.allows(runner);
                if (mayRun && !isExcluded(runner)) {
                    return runner;
                }
            }
            return null;
        }
        Runner runner = choose(binding::allows);
        if (runner != null || binding.isFixed()) {
            return runner;
        }
        Runner ofOtherVersion = choose(_ -> true);
        return ofOtherVersion != null && binding.rebind(ofOtherVersion) ? ofOtherVersion : null;
    }

    private Runner choose(Predicate<Runner> eligible) {
        return pool.choose(
                service,
                request.units(),
                request.prompt(),
                failureCostMs(route),
                request.placement(),
                runner -> !isExcluded(runner) && eligible.test(runner));
    }

    private boolean isExcluded(Runner runner) {
        return excludedIncarnations.contains(runner.incarnation())
                || rateLimitWait.isDenied(runner);
    }

    /** Returns the time that the caller of {@code route} loses if a runner fails the request. */
    static double failureCostMs(Route route) {
        return route.retryable() ? RETRY_COST_MS : route.timeoutMs();
    }

    /**
     * Whether the request, not run so far, has waited its limit and there is no available runner.
     */
    private boolean hasWaitedTooLongForRunner() {
        return !pool.hasAvailableRunners(service)
                && !attemptedRunners.mayHaveRun()
                && elapsedMs() >= route.objectiveMs() / NO_RUNNER_WAIT_DIVISOR;
    }

    private long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
    }

    private void backOff() throws InterruptedException {
        boolean hasRunners = pool.hasAvailableRunners(service);
        exchange.awaitCancellation(hasRunners ? overloadBackoffMs : NO_RUNNER_BACKOFF_MS);
        overloadBackoffMs = Math.min(MAX_OVERLOAD_BACKOFF_MS, overloadBackoffMs * 2);
        excludedIncarnations.clear();
        rateLimitWait.clear();
    }

    private Refusal timeoutRefusal(SendResult last) {
        if (attemptedRunners.mayHaveRun()) {
            return Refusal.timedOut("no answer in time");
        }
        String reason = last instanceof SendResult.NotRun notRun ? notRun.reason() : "no time left";
        return Refusal.notRun(100, reason);
    }
}
