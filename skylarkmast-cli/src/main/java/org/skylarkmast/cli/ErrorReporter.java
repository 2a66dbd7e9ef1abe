package org.skylarkmast.cli;

import org.skylarkmast.core.config.Problem;
import tools.jackson.databind.JsonNode;

/** Prints the error of an unsuccessful reply and maps it to an exit code. */
final class ErrorReporter {
    private static final int CONFLICT = 409;
    private static final int INVALID = 422;
    private static final int UNAVAILABLE = 503;

    private ErrorReporter() {}

    /** Reports that no server answered. */
    static ExitCode report(Output output, AdminReply.Unreachable unreachable) {
        unreachable.reasons().forEach(output::error);
        return ExitCode.UNREACHABLE;
    }

    /** Reports an answer with a status other than 200. */
    static ExitCode report(Output output, AdminReply.Answered answered) {
        JsonNode body = answered.body();
        String detail = body.path("detail").asString("no detail");
        switch (answered.status()) {
            case CONFLICT -> {
                output.error(
                        "conflict: based on revision "
                                + body.path("baseRevision").asLong()
                                + ", but revision "
                                + body.path("revisionInForce").asLong()
                                + " is in force");
                return ExitCode.CONFLICT;
            }
            case INVALID -> {
                for (JsonNode problem : body.path("problems")) {
                    output.error(formatProblem(problem));
                }
                return ExitCode.INVALID;
            }
            case UNAVAILABLE -> {
                output.error(answered.server() + ": " + detail);
                return ExitCode.UNREACHABLE;
            }
            default -> {
                output.error(answered.server() + ": " + answered.status() + " " + detail);
                return ExitCode.REFUSED;
            }
        }
    }

    private static String formatProblem(JsonNode problem) {
        return new Problem(
                        problem.path("source").asString(""),
                        problem.path("index").asInt(-1),
                        problem.path("object").asString(""),
                        problem.path("path").asString(""),
                        problem.path("message").asString(""))
                .toString();
    }
}
