package org.skylarkmast.core.program;

import org.skylarkmast.core.key.ProgramKey;

/**
 * A caller's request, as the entry node passes it to the owner of the program.
 *
 * @param template name of the program template; may be empty for a program that exists
 * @param idempotencyKey identifies the request within its program: a repeated request joins the
 *     running one or gets the stored answer
 * @param digest digest of the operation; the same key with another digest is refused
 * @param traceParent W3C trace context of the previous hop, or empty; passed on, never interpreted
 */
public record CallerRequest(
        ProgramKey program,
        String template,
        String idempotencyKey,
        String digest,
        String traceParent,
        Operation operation) {

    /** Returns the same request as part of another span. */
    public CallerRequest withTraceParent(String newTraceParent) {
        return new CallerRequest(
                program, template, idempotencyKey, digest, newTraceParent, operation);
    }
}
