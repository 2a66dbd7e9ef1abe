package org.skylarkmast.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.program.Execution;
import org.skylarkmast.core.program.Refusal;
import org.skylarkmast.http.HttpReply;

/** Refusals as RFC 9457 problem details. */
final class Problems {
    private static final long MS_PER_SECOND = 1_000;

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

    /**
     * The problem's members; {@code execution} is {@code not-run}, {@code unknown} or {@code ran}.
     */
    static Map<String, Object> members(Refusal refusal) {
        Map<String, Object> members = new LinkedHashMap<>();
        String kind = refusal.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        members.put("type", "urn:skylarkmast:" + kind);
        members.put("title", kind.replace('-', ' '));
        members.put("status", status(refusal));
        members.put("detail", refusal.detail());
        members.put(
                "execution", refusal.execution().name().toLowerCase(Locale.ROOT).replace('_', '-'));
        members.put("retryAfterMs", refusal.retryAfterMs());
        return members;
    }

    static HttpReply reply(Refusal refusal) {
        Map<String, String> headers =
                refusal.retryAfterMs() == 0
                        ? Map.of()
                        : Map.of(
                                "Retry-After",
                                Long.toString(Math.ceilDiv(refusal.retryAfterMs(), MS_PER_SECOND)));
        return new HttpReply.Full(
                status(refusal),
                headers,
                "application/problem+json",
                JsonUtil.MAPPER
                        .writeValueAsString(members(refusal))
                        .getBytes(StandardCharsets.UTF_8));
    }

    /** A problem of a request that was turned away at the door. */
    static HttpReply invalid(Refusal.Kind kind, String detail) {
        return reply(new Refusal(kind, detail, Execution.NOT_RUN, 0));
    }

    static HttpReply unauthorized() {
        return new HttpReply.Full(
                401,
                Map.of("WWW-Authenticate", "Bearer"),
                "application/problem+json",
                ("{\"type\":\"urn:skylarkmast:unauthorized\",\"title\":\"unauthorized\","
                                + "\"status\":401,\"detail\":\"a valid bearer key is required\","
                                + "\"execution\":\"not-run\",\"retryAfterMs\":0}")
                        .getBytes(StandardCharsets.UTF_8));
    }
}
