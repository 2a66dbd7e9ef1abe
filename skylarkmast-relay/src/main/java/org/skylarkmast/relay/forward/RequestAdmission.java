package org.skylarkmast.relay.forward;

import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.ledger.Reservation;
import org.skylarkmast.relay.ledger.ReserveOutcome;
import org.skylarkmast.relay.ledger.ReserveResult;
import org.skylarkmast.relay.ledger.StreamOrigin;
import org.skylarkmast.relay.ledger.TurnLedger;
import org.skylarkmast.relay.route.Route;
import org.skylarkmast.relay.route.RouteKind;
import org.skylarkmast.relay.runner.Runner;
import org.skylarkmast.relay.runner.RunnerPool;

/**
 * Arranges with the ledger what must precede the send of a request: reserves its tokens, and
 * records where its stream begins or reads where the stream that it resumes began.
 *
 * <p>Confined to one thread.
 */
final class RequestAdmission {

    /** Retry-After if too few storage nodes answered. */
    static final long STORAGE_RETRY_AFTER_MS = 300;

    private static final long BUDGET_HELD_RETRY_AFTER_MS = 250;

    /** Retry-After if a stream cannot be resumed: its caller can start a new one. */
    private static final long RESUME_RETRY_AFTER_MS = 100;

    private final RunnerPool pool;
    private final TurnLedger ledger;
    private final CallMetadata call;
    private final Route route;
    private final String service;
    private final LongSupplier remainingMs;
    private final BooleanSupplier hasEvents;

    /** Whether a request may be sent. */
    sealed interface Result {

        /**
         * The request may be sent.
         *
         * @param service the service to send it to
         * @param binding the runners of the service to send it to
         */
        record Admitted(String service, OriginBinding binding) implements Result {}

        /** The request must not be sent. */
        record Refused(Refusal refusal) implements Result {}
    }

    /**
     * @param service the service that was selected for the request
     * @param remainingMs time left until the deadline of the request
     * @param hasEvents whether the caller has received an event in this attempt
     */
    RequestAdmission(
            RunnerPool pool,
            TurnLedger ledger,
            CallMetadata call,
            Route route,
            String service,
            LongSupplier remainingMs,
            BooleanSupplier hasEvents) {
        this.pool = pool;
        this.ledger = ledger;
        this.call = call;
        this.route = route;
        this.service = service;
        this.remainingMs = remainingMs;
        this.hasEvents = hasEvents;
    }

    /** Whether tokens must be reserved. */
    boolean needsTokens() {
        return call.hasTokenBudget() && route.kind() == RouteKind.STREAM;
    }

    /** Whether the request cannot be admitted without the ledger. */
    boolean needsLedger() {
        return needsTokens() || namesOrigin();
    }

    private boolean isResumable() {
        return route.kind() == RouteKind.STREAM && route.resumable();
    }

    private boolean resumesStream() {
        return isResumable() && !call.lastEventId().isEmpty();
    }

    /** Whether the ledger may know where the stream began that the request resumes. */
    private boolean namesOrigin() {
        return resumesStream() && !call.resumedRequestId().isEmpty();
    }

    /** Admits the request with one call to the ledger, if it needs any. */
    Result admit(RequestLog.Entry entry) throws InterruptedException {
        if (!needsTokens() && !isResumable()) {
            return new Result.Admitted(service, OriginBinding.unrestricted());
        }
        if (!needsLedger() && resumesStream()) {
            return bindToResumed(Set.of());
        }
        // A stream without a budget may begin unrecorded; it can then not be resumed elsewhere.
        if (!needsLedger() && !ledger.reachable()) {
            return bindToNew(null);
        }
        StreamOrigin origin = isResumable() && !resumesStream() ? likelyOrigin() : null;
        ReserveResult result =
                ledger.reserve(reservation(origin), needsLedger() ? storageTimeoutMs() : 0);
        entry.reservation = result.outcome().name();
        Refusal refusal = needsLedger() ? refusal(result.outcome()) : null;
        if (refusal != null) {
            return new Result.Refused(refusal);
        }
        return resumesStream() ? bindToResumed(result.resumedOrigins()) : bindToNew(origin);
    }

    private long storageTimeoutMs() {
        return Math.max(1, remainingMs.getAsLong() / Forwarder.STORAGE_TIMEOUT_DIVISOR);
    }

    private Reservation reservation(StreamOrigin origin) {
        return new Reservation(
                needsTokens() ? call.program() : "",
                call.requestId(),
                needsTokens() ? call.maxOutputTokens() : 0,
                needsTokens() ? call.tokenBudget() : Long.MAX_VALUE,
                route.retentionMs(),
                origin,
                namesOrigin() ? call.resumedRequestId() : "",
                Math.max(0, remainingMs.getAsLong()));
    }

    private static Refusal refusal(ReserveOutcome outcome) {
        return switch (outcome) {
            case GRANTED -> null;
            case HELD ->
                    Refusal.notRun(BUDGET_HELD_RETRY_AFTER_MS, "budget held by turns under way");
            case EXHAUSTED -> Refusal.of(402, "token budget is spent");
            case UNAVAILABLE -> Refusal.notRun(STORAGE_RETRY_AFTER_MS, "too few keepers answer");
        };
    }

    /** Returns the origin of the runner that would be chosen now, or null if there is none. */
    private StreamOrigin likelyOrigin() {
        Runner runner =
                pool.choose(
                        service,
                        call.estimatedOutputTokens(),
                        call.prompt(),
                        RetryLoop.failureCostMs(route),
                        _ -> true);
        return runner == null ? null : OriginBinding.originOf(runner);
    }

    private Result bindToNew(StreamOrigin recorded) {
        return new Result.Admitted(
                service,
                isResumable()
                        ? OriginBinding.ofNewStream(recorded, this::recordOrigin, hasEvents)
                        : OriginBinding.unrestricted());
    }

    private boolean recordOrigin(StreamOrigin origin) throws InterruptedException {
        Reservation reservation =
                Reservation.ofOrigin(call.requestId(), route.retentionMs(), origin);
        return ledger.reachable()
                && ledger.reserve(reservation, 0).outcome() == ReserveOutcome.GRANTED;
    }

    private Result bindToResumed(Set<StreamOrigin> origins) {
        // The registered runners tell nothing: those that began the stream may have left, or this
        // node may not have learned of them.
        StreamOrigin origin = origins.size() == 1 ? origins.iterator().next() : null;
        if (origin == null || !route.sendsTo(origin.service())) {
            if (needsTokens()) {
                ledger.settle(call.program(), call.requestId(), 0, route.retentionMs());
            }
            return new Result.Refused(
                    Refusal.notRun(
                            RESUME_RETRY_AFTER_MS,
                            "software version that began the stream is not known"));
        }
        return new Result.Admitted(origin.service(), OriginBinding.ofResumedStream(origin));
    }
}
