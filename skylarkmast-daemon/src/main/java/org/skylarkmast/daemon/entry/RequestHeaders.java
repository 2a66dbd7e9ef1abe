package org.skylarkmast.daemon.entry;

import java.util.Optional;
import java.util.regex.Pattern;
import org.skylarkmast.http.ServerRequest;

/** Checks of the headers that name a program and a request. */
final class RequestHeaders {
    private static final Pattern PROGRAM_ID =
            Pattern.compile("[A-Za-z0-9._:-]{1,128}(/[A-Za-z0-9._:-]{1,64}){0,8}");
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,128}");

    private RequestHeaders() {}

    /** What is wrong with a request's names, if anything is. */
    static Optional<String> problem(ServerRequest call, String programId) {
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
