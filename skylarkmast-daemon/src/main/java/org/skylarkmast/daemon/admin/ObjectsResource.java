package org.skylarkmast.daemon.admin;

import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.ConfigurationDiff;
import org.skylarkmast.core.config.ObjectName;
import org.skylarkmast.core.config.ObjectWriter;
import org.skylarkmast.core.config.Problem;
import org.skylarkmast.core.config.PublishOutcome;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.program.Execution;
import org.skylarkmast.daemon.configuration.ConfigurationPublisher;
import org.skylarkmast.daemon.problem.ProblemReply;
import org.skylarkmast.http.HttpReply;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** HTTP resource of the operators' objects: returns the current set and publishes changes. */
public final class ObjectsResource {

    /** Retry-After of answers while the key-value service is unavailable. */
    private static final long UNAVAILABLE_RETRY_AFTER_MS = 5_000;

    private final Supplier<Configuration> current;
    private final Function<ConfigurationPublisher.Request, PublishOutcome> publisher;
    private final ChangeRequestParser parser;

    /**
     * Creates the resource.
     *
     * @param current supplies the configuration that this node uses
     * @param publisher publishes a change
     * @param writeIds source of unique ids for changes whose request carries none
     */
    public ObjectsResource(
            Supplier<Configuration> current,
            Function<ConfigurationPublisher.Request, PublishOutcome> publisher,
            Supplier<String> writeIds) {
        this.current = current;
        this.publisher = publisher;
        this.parser = new ChangeRequestParser(writeIds);
    }

    HttpReply get() {
        Configuration configuration = current.get();
        ObjectNode body = JsonUtil.MAPPER.createObjectNode();
        body.put("revision", configuration.revision());
        body.set("objects", ObjectWriter.toJson(configuration.objects()));
        return HttpReply.json(200, body.toString());
    }

    HttpReply put(byte[] body) {
        return switch (parser.parse(body)) {
            case ChangeRequestParser.Outcome.Parsed parsed ->
                    reply(publisher.apply(parsed.request()));
            case ChangeRequestParser.Outcome.Malformed malformed ->
                    new ProblemReply(400, "malformed", "Malformed request", malformed.detail())
                            .withExecution(Execution.NOT_RUN)
                            .toReply();
            case ChangeRequestParser.Outcome.Rejected rejected -> invalid(rejected.problems());
        };
    }

    private static HttpReply reply(PublishOutcome outcome) {
        return switch (outcome) {
            case PublishOutcome.Published published ->
                    HttpReply.json(200, "{\"revision\":" + published.revision() + "}");
            case PublishOutcome.Checked checked -> HttpReply.json(200, checked(checked));
            case PublishOutcome.Conflict conflict ->
                    new ProblemReply(
                                    409,
                                    "conflict",
                                    "Conflicting change",
                                    "another change was published first; nothing was changed")
                            .withExecution(Execution.NOT_RUN)
                            .toReply(
                                    JsonUtil.MAPPER
                                            .createObjectNode()
                                            .put("baseRevision", conflict.baseRevision())
                                            .put("revisionInForce", conflict.revisionInForce()));
            case PublishOutcome.Invalid invalid -> invalid(invalid.problems());
            case PublishOutcome.Unavailable unavailable ->
                    unavailable(unavailable.reason()).withExecution(Execution.NOT_RUN).toReply();
            case PublishOutcome.Unknown unknown ->
                    unavailable(
                                    "the change may take effect yet; repeat the request with the"
                                            + " same writeId to settle it: "
                                            + unknown.reason())
                            .withExecution(Execution.UNKNOWN)
                            .toReply(
                                    JsonUtil.MAPPER
                                            .createObjectNode()
                                            .put("writeId", unknown.writeId()));
        };
    }

    private static ProblemReply unavailable(String detail) {
        return new ProblemReply(503, "store-unavailable", "Key-value service unavailable", detail)
                .withRetryAfterMs(UNAVAILABLE_RETRY_AFTER_MS);
    }

    private static HttpReply invalid(List<Problem> problems) {
        ObjectNode extension = JsonUtil.MAPPER.createObjectNode();
        ArrayNode list = extension.putArray("problems");
        for (Problem problem : problems) {
            list.addObject()
                    .put("source", problem.source())
                    .put("index", problem.index())
                    .put("object", problem.object())
                    .put("path", problem.path())
                    .put("message", problem.message());
        }
        return new ProblemReply(
                        422,
                        "invalid-objects",
                        "Invalid objects",
                        problems.size() + " problems; nothing was changed")
                .withExecution(Execution.NOT_RUN)
                .toReply(extension);
    }

    private static String checked(PublishOutcome.Checked checked) {
        ConfigurationDiff diff = checked.diff();
        ObjectNode body =
                JsonUtil.MAPPER
                        .createObjectNode()
                        .put("dryRun", true)
                        .put("revision", checked.revision());
        write(diff.added(), body.putArray("added"));
        write(diff.changed(), body.putArray("changed"));
        write(diff.removed(), body.putArray("removed"));
        return body.toString();
    }

    private static void write(List<ObjectName> names, ArrayNode list) {
        names.forEach(name -> list.add(name.toString()));
    }
}
