package org.skylarkmast.daemon.dispatch;

import java.util.Optional;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.http.HttpOutcome;

/** Maps the HTTP status and headers of a runner's response to the outcome of a call. */
final class ResponseStatus {
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long MS_PER_SECOND = 1_000;

    private ResponseStatus() {}

    /** The failure that {@code status} denotes where a complete answer was expected. */
    static CallFailure failureOf(int status) {
        return switch (status) {
            case CONFLICT -> CallFailure.STALE_EPOCH;
            case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> CallFailure.BUSY;
            default -> CallFailure.TARGET_ERROR;
        };
    }

    /** Whether the runner was overloaded and refused the call without executing it. */
    static boolean isBusy(HttpOutcome.Answered response) {
        return failureOf(response.status()) == CallFailure.BUSY;
    }

    /** The {@code Retry-After} header in milliseconds; 0 if absent or not a number. */
    static long retryAfterMs(HttpOutcome.Answered response) {
        Optional<String> retryAfterSeconds = response.header("retry-after");
        try {
            return retryAfterSeconds.map(Long::parseLong).orElse(0L) * MS_PER_SECOND;
        } catch (NumberFormatException ignored) {
            return 0;
        }
    }
}
