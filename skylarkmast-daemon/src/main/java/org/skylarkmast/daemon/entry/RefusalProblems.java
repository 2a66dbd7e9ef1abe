package org.skylarkmast.daemon.entry;

import java.util.Locale;
import org.skylarkmast.core.program.Execution;
import org.skylarkmast.core.program.Refusal;
import org.skylarkmast.daemon.problem.ProblemReply;
import org.skylarkmast.http.HttpReply;

/** Converts refusals to problem details. */
final class RefusalProblems {
    private RefusalProblems() {}

    /** The HTTP status of a refusal. */
    static int statusOf(Refusal refusal) {
        return switch (refusal.kind()) {
            case INVALID -> 400;
            case NOT_FOUND -> 404;
            case CONFLICT -> 409;
            case PROGRAM_ENDED -> 410;
            case BUDGET_SPENT, TURN_LIMIT -> 403;
            case OVERLOADED -> 429;
            case TARGET_FAILED -> 502;
            case TIMED_OUT -> 504;
            case NO_RUNNER, STORE_DOWN, OWNER_MOVED -> 503;
        };
    }

    /** The problem details of a refusal. */
    static ProblemReply of(Refusal refusal) {
        String kind = refusal.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        ProblemReply problem =
                new ProblemReply(statusOf(refusal), kind, kind.replace('-', ' '), refusal.detail())
                        .withExecution(refusal.execution());
        return refusal.retryAfterMs() == 0
                ? problem
                : problem.withRetryAfterMs(refusal.retryAfterMs());
    }

    static HttpReply reply(Refusal refusal) {
        return of(refusal).toReply();
    }

    /** The reply to a request that was rejected before it was forwarded to an owner. */
    static HttpReply rejected(Refusal.Kind kind, String detail) {
        return reply(new Refusal(kind, detail, Execution.NOT_RUN, 0));
    }
}
