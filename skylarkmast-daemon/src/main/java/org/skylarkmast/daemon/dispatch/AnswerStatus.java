package org.skylarkmast.daemon.dispatch;

import java.util.Optional;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.http.HttpOutcome;

/** What a runner's HTTP status means for a call. */
final class AnswerStatus {
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final long MS_PER_SECOND = 1_000;

    private AnswerStatus() {}

    /** The failure that a status stands for where a whole answer was expected. */
    static CallFailure failureOf(int status) {
        return switch (status) {
            case CONFLICT -> CallFailure.STALE_EPOCH;
            case TOO_MANY_REQUESTS, UNAVAILABLE -> CallFailure.BUSY;
            default -> CallFailure.TARGET_ERROR;
        };
    }

    /** Whether the runner refused the call before running it, being too busy. */
    static boolean busy(HttpOutcome.Answered answered) {
        return failureOf(answered.status()) == CallFailure.BUSY;
    }

    /** The {@code Retry-After} of an answer in milliseconds; 0 if absent or not a number. */
    static long retryAfterMs(HttpOutcome.Answered answered) {
        Optional<String> seconds = answered.header("retry-after");
        try {
            return seconds.map(Long::parseLong).orElse(0L) * MS_PER_SECOND;
        } catch (NumberFormatException ignored) {
            return 0;
        }
    }
}
