package org.skylarkmast.daemon.entry;

import java.util.Locale;
import org.skylarkmast.core.program.Execution;
import org.skylarkmast.core.program.Refusal;
import org.skylarkmast.daemon.problem.ProblemReply;
import org.skylarkmast.http.HttpReply;

/** Refusals as problem details. */
final class Problems {
    private Problems() {}

    /** The HTTP status of a refusal. */
    static int status(Refusal refusal) {
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

    /** The problem that a refusal is. */
    static ProblemReply of(Refusal refusal) {
        String kind = refusal.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        ProblemReply problem =
                new ProblemReply(status(refusal), kind, kind.replace('-', ' '), refusal.detail())
                        .withExecution(refusal.execution());
        return refusal.retryAfterMs() == 0
                ? problem
                : problem.withRetryAfterMs(refusal.retryAfterMs());
    }

    static HttpReply reply(Refusal refusal) {
        return of(refusal).toReply();
    }

    /** A problem of a request that was turned away at the door. */
    static HttpReply invalid(Refusal.Kind kind, String detail) {
        return reply(new Refusal(kind, detail, Execution.NOT_RUN, 0));
    }
}
