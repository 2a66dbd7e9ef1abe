package org.skylarkmast.bench.caller;

import org.skylarkmast.bench.history.HistoryRecord.Kind;

/**
 * A request of a program; sending it again keeps its key.
 *
 * @param program id within the workspace; a sub-agent's has a slash
 * @param key idempotency key, unique within the program
 * @param kind what it is for
 * @param repeatable whether running it twice does no harm; true for model calls
 * @param text user message or service body; names the key, so that it is unique
 * @param streamed whether a model's answer is asked for as a stream
 */
public record CallerRequest(
        String workspace,
        String program,
        String key,
        Kind kind,
        boolean repeatable,
        String text,
        boolean streamed) {

    /** The program as targets see it. */
    public String programKey() {
        return workspace + ":" + program;
    }
}
