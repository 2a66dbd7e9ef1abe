package org.skylarkmast.daemon.problem;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.program.Execution;
import org.skylarkmast.http.HttpReply;
import tools.jackson.databind.node.ObjectNode;

/**
 * An error response.
 *
 * @param status HTTP status
 * @param type short, stable name of the problem type, such as {@code conflict}
 * @param title readable form of the problem type
 * @param detail explanation of this occurrence
 * @param execution whether the request was executed, if that is relevant
 * @param retryAfterMs delay before the caller should retry, in milliseconds
 */
public record ProblemReply(
        int status,
        String type,
        String title,
        String detail,
        Optional<Execution> execution,
        OptionalLong retryAfterMs) {

    /** Prefix of the {@code type} member. */
    public static final String TYPE_PREFIX = "urn:skylarkmast:problem:";

    private static final String CONTENT_TYPE = "application/problem+json";
    private static final long MS_PER_SECOND = 1_000;

    /** A problem without information on execution or retry. */
    public ProblemReply(int status, String type, String title, String detail) {
        this(status, type, title, detail, Optional.empty(), OptionalLong.empty());
    }

    /** The same problem with {@code execution}. */
    public ProblemReply withExecution(Execution newExecution) {
        return new ProblemReply(
                status, type, title, detail, Optional.of(newExecution), retryAfterMs);
    }

    /** The same problem with a retry delay. */
    public ProblemReply withRetryAfterMs(long newRetryAfterMs) {
        return new ProblemReply(
                status, type, title, detail, execution, OptionalLong.of(newRetryAfterMs));
    }

    /** The response to a request without a valid bearer key. */
    public static HttpReply unauthorized(String detail) {
        HttpReply.Full reply =
                new ProblemReply(401, "unauthorized", "Unauthorized", detail)
                        .withExecution(Execution.NOT_RUN)
                        .toReply();
        return new HttpReply.Full(
                reply.status(),
                Map.of("WWW-Authenticate", "Bearer"),
                reply.contentType(),
                reply.body());
    }

    /** The HTTP response. */
    public HttpReply.Full toReply() {
        return toReply(JsonUtil.MAPPER.createObjectNode());
    }

    /**
     * The HTTP response.
     *
     * @param extension further members of the problem, added after the standard ones
     */
    public HttpReply.Full toReply(ObjectNode extension) {
        ObjectNode body = toJson();
        body.setAll(extension);
        Map<String, String> headers = new LinkedHashMap<>();
        retryAfterMs.ifPresent(ms -> headers.put("Retry-After", wholeSeconds(ms)));
        return new HttpReply.Full(status, headers, CONTENT_TYPE, JsonUtil.toBytes(body));
    }

    /** The JSON members of the problem. */
    public ObjectNode toJson() {
        ObjectNode body =
                JsonUtil.MAPPER
                        .createObjectNode()
                        .put("type", TYPE_PREFIX + type)
                        .put("title", title)
                        .put("status", status)
                        .put("detail", detail);
        execution.ifPresent(known -> body.put("execution", known.wireName()));
        retryAfterMs.ifPresent(ms -> body.put("retryAfterMs", ms));
        return body;
    }

    /** Rounds up, since a retry that comes too early is refused again. */
    private static String wholeSeconds(long ms) {
        return Long.toString(Math.ceilDiv(ms, MS_PER_SECOND));
    }
}
