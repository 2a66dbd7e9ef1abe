package org.skylarkmast.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.Execution;
import org.skylarkmast.core.program.Refusal;

/**
 * Merges the events of successive owners into one answer.
 *
 * <p>A new owner sends an answer from its start. The part that the caller already received is left
 * out. An answer that differs from that part is refused, so that the caller never receives a
 * mixture of two answers. Not thread-safe.
 */
final class AnswerMerger {
    private static final long RETRY_AFTER_MS = 1_000;

    private final RequestRouter.EventSink sink;
    private final List<String> sentTokens = new ArrayList<>();
    private final StringBuilder sentText = new StringBuilder();

    AnswerMerger(RequestRouter.EventSink sink) {
        this.sink = sink;
    }

    /** Passes on what the caller lacks; returns whether the caller still listens. */
    boolean accept(CallerEvent event) {
        return switch (event) {
            case CallerEvent.Token token -> acceptToken(token);
            case CallerEvent.ModelAnswered answered -> acceptAnswer(answered);
            case CallerEvent.ServiceAnswered ignored -> sink.accept(event);
            case CallerEvent.Ended ignored -> sink.accept(event);
            case CallerEvent.ProgramRead ignored -> sink.accept(event);
            case CallerEvent.Refused ignored -> sink.accept(event);
        };
    }

    private boolean acceptToken(CallerEvent.Token token) {
        if (token.index() < sentTokens.size()) {
            return sentTokens.get(token.index()).equals(token.text()) || refuseDifferentAnswer();
        }
        if (token.index() > sentTokens.size()) {
            throw new IllegalStateException(
                    "owner skipped tokens of the answer: next index expected " + sentTokens.size());
        }
        sentTokens.add(token.text());
        sentText.append(token.text());
        return sink.accept(token);
    }

    private boolean acceptAnswer(CallerEvent.ModelAnswered answered) {
        if (!answered.text().startsWith(sentText.toString())) {
            return refuseDifferentAnswer();
        }
        String remainder = answered.text().substring(sentText.length());
        if (!remainder.isEmpty()
                && !sink.accept(new CallerEvent.Token(sentTokens.size(), remainder))) {
            return false;
        }
        return sink.accept(answered);
    }

    /** Refuses the answer; a retry with the same key receives the other answer completely. */
    private boolean refuseDifferentAnswer() {
        sink.accept(
                new CallerEvent.Refused(
                        new Refusal(
                                Refusal.Kind.OWNER_MOVED,
                                "the answer changed under way; ask again with the same key",
                                Execution.UNKNOWN,
                                RETRY_AFTER_MS)));
        return false;
    }
}
