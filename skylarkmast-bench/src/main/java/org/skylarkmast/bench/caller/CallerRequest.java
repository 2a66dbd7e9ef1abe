package org.skylarkmast.bench.caller;

import org.skylarkmast.bench.history.HistoryRecord.Kind;

/**
 * A request of a program. Every retry uses the same key.
 *
 * @param program id within the workspace; the id of a sub-agent contains a slash
 * @param key idempotency key, unique within the program
 * @param kind kind of target that the request addresses
 * @param repeatable whether it may run more than once; true for model calls
 * @param text user message or service body; contains the key, which makes it unique
 * @param streamed whether the answer of a model is requested as a stream
 */
public record CallerRequest(
        String workspace,
        String program,
        String key,
        Kind kind,
        boolean repeatable,
        String text,
        boolean streamed) {

    /** Returns the program in the form that targets receive, {@code workspace:id}. */
    public String programKey() {
        return workspace + ":" + program;
    }
}
