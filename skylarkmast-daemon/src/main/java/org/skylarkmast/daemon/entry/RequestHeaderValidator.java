package org.skylarkmast.daemon.entry;

import java.util.Optional;
import java.util.regex.Pattern;
import org.skylarkmast.http.ServerRequest;

/** Validates the headers that identify a program and a request. */
final class RequestHeaderValidator {
    private static final Pattern PROGRAM_ID =
            Pattern.compile("[A-Za-z0-9._:-]{1,128}(/[A-Za-z0-9._:-]{1,64}){0,8}");
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,128}");

    private RequestHeaderValidator() {}

    /** Describes the first invalid identifier of a request; empty if all are valid. */
    static Optional<String> findProblem(ServerRequest call, String programId) {
        if (!PROGRAM_ID.matcher(programId).matches()) {
            return Optional.of(
                    "the program id (header Skylarkmast-Program, or the path) must match "
                            + PROGRAM_ID.pattern());
        }
        return call.header("idempotency-key")
                .filter(key -> !IDEMPOTENCY_KEY.matcher(key).matches())
                .map(key -> "Idempotency-Key must be 1 to 128 visible ASCII characters");
    }
}
