package org.skylarkmast.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.skylarkmast.core.config.ConfigurationValidator;
import org.skylarkmast.core.config.DeclaredObject;
import org.skylarkmast.core.config.ObjectKind;
import org.skylarkmast.core.config.ObjectName;
import org.skylarkmast.core.config.ObjectWriter;
import org.skylarkmast.core.config.ValidationOutcome;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** The commands that validate, change or compare objects. */
final class ObjectCommands {
    private static final int OK = 200;

    private final AdminClient client;
    private final Output output;

    ObjectCommands(AdminClient client, Output output) {
        this.client = client;
        this.output = output;
    }

    ExitCode validate(Options.Validate options) {
        return switch (ObjectFiles.read(options.files)) {
            case ObjectFiles.Outcome.Read read -> validateObjects(read.objects());
            case ObjectFiles.Outcome.Rejected rejected -> reportRejected(rejected);
            case ObjectFiles.Outcome.Unreadable unreadable -> reportUnreadable(unreadable);
        };
    }

    ExitCode apply(Options.Apply options) {
        return switch (ObjectFiles.read(options.files)) {
            case ObjectFiles.Outcome.Read read ->
                    publish(options, read.objects(), List.of(), options.dryRun);
            case ObjectFiles.Outcome.Rejected rejected -> reportRejected(rejected);
            case ObjectFiles.Outcome.Unreadable unreadable -> reportUnreadable(unreadable);
        };
    }

    ExitCode diff(Options.Diff options) {
        return switch (ObjectFiles.read(options.files)) {
            case ObjectFiles.Outcome.Read read ->
                    publish(new Options.Change(), read.objects(), List.of(), true);
            case ObjectFiles.Outcome.Rejected rejected -> reportRejected(rejected);
            case ObjectFiles.Outcome.Unreadable unreadable -> reportUnreadable(unreadable);
        };
    }

    ExitCode delete(Options.Delete options) {
        List<ObjectName> names = new ArrayList<>();
        for (String text : options.names) {
            Optional<ObjectName> name = parseObjectName(text);
            if (name.isEmpty()) {
                output.error("expected KIND/NAME, found " + text);
                return ExitCode.USAGE;
            }
            names.add(name.get());
        }
        return publish(options, List.of(), names, options.dryRun);
    }

    private ExitCode validateObjects(List<DeclaredObject> objects) {
        return switch (ConfigurationValidator.validate(1, objects)) {
            case ValidationOutcome.Valid valid -> {
                output.line(objects.size() + " objects are valid");
                yield ExitCode.OK;
            }
            case ValidationOutcome.Invalid invalid -> {
                output.problems(invalid.problems());
                yield ExitCode.INVALID;
            }
        };
    }

    private ExitCode publish(
            Options.Change options,
            List<DeclaredObject> apply,
            List<ObjectName> delete,
            boolean dryRun) {
        String writeId = options.writeId == null ? UUID.randomUUID().toString() : options.writeId;
        ObjectNode change = JsonUtil.MAPPER.createObjectNode();
        change.put("baseRevision", options.baseRevision);
        change.set(
                "apply", ObjectWriter.toJson(apply.stream().map(DeclaredObject::object).toList()));
        ArrayNode names = change.putArray("delete");
        for (ObjectName name : delete) {
            names.addObject().put("kind", name.kind().wireName()).put("name", name.name());
        }
        change.put("dryRun", dryRun).put("writeId", writeId);
        return switch (client.publish(change)) {
            case AdminReply.Answered answered ->
                    answered.status() == OK
                            ? printPublished(answered.body())
                            : ErrorReporter.report(output, answered);
            case AdminReply.Unreachable unreachable -> {
                ExitCode code = ErrorReporter.report(output, unreachable);
                if (unreachable.mayHaveExecuted() && !dryRun) {
                    output.error(
                            "the change may still take effect; repeat it with --write-id "
                                    + writeId);
                }
                yield code;
            }
        };
    }

    private ExitCode printPublished(JsonNode body) {
        if (output.isJson()) {
            output.json(body);
        } else if (body.path("dryRun").asBoolean(false)) {
            body.path("added").forEach(name -> output.line("+ " + name.asString()));
            body.path("changed").forEach(name -> output.line("~ " + name.asString()));
            body.path("removed").forEach(name -> output.line("- " + name.asString()));
            output.line("compared with revision " + body.path("revision").asLong());
        } else {
            output.line("revision " + body.path("revision").asLong());
        }
        return ExitCode.OK;
    }

    private ExitCode reportRejected(ObjectFiles.Outcome.Rejected rejected) {
        output.problems(rejected.problems());
        return ExitCode.INVALID;
    }

    private ExitCode reportUnreadable(ObjectFiles.Outcome.Unreadable unreadable) {
        output.error(unreadable.reason());
        return ExitCode.USAGE;
    }

    private static Optional<ObjectName> parseObjectName(String text) {
        int slash = text.indexOf('/');
        if (slash < 0) {
            return Optional.empty();
        }
        return ObjectKind.fromWireName(text.substring(0, slash))
                .map(kind -> new ObjectName(kind, text.substring(slash + 1)));
    }
}
