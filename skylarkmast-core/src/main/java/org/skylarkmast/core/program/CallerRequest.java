package org.skylarkmast.core.program;

import org.skylarkmast.core.key.ProgramKey;

/**
 * A caller's request, as its entry host passes it to the owner of the program.
 *
 * @param template name of the program template; may be empty for a program that exists
 * @param idempotencyKey names the request within its program: sent again, it joins the running
 *     request or gets the stored answer
 * @param digest of the operation; the same key with another digest is refused
 * @param traceParent W3C trace context of the hop before, or empty; carried, never looked at
 */
public record CallerRequest(
        ProgramKey program,
        String template,
        String idempotencyKey,
        String digest,
        String traceParent,
        Operation operation) {

    /** The same request under another span. */
    public CallerRequest under(String otherTraceParent) {
        return new CallerRequest(
                program, template, idempotencyKey, digest, otherTraceParent, operation);
    }
}
