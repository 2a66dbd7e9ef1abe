package org.skylarkmast.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.Execution;
import org.skylarkmast.core.program.Refusal;

/**
 * Makes one answer of the events of several owners.
 *
 * <p>A new owner tells an answer from its start; what the caller has is left out, and an answer
 * that differs from what the caller has ends in a refusal rather than in a mixture. Not
 * thread-safe.
 */
final class AnswerMerger {
    private static final long RETRY_AFTER_MS = 1_000;

    private final RequestRouter.EventSink sink;
    private final List<String> passed = new ArrayList<>();
    private final StringBuilder text = new StringBuilder();

    AnswerMerger(RequestRouter.EventSink sink) {
        this.sink = sink;
    }

    /** Passes on what is new; returns whether the caller still listens. */
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
        if (token.index() < passed.size()) {
            return passed.get(token.index()).equals(token.text()) || differs();
        }
        if (token.index() > passed.size()) {
            throw new IllegalStateException("answer lacks token " + passed.size());
        }
        passed.add(token.text());
        text.append(token.text());
        return sink.accept(token);
    }

    private boolean acceptAnswer(CallerEvent.ModelAnswered answered) {
        if (!answered.text().startsWith(text.toString())) {
            return differs();
        }
        String rest = answered.text().substring(text.length());
        if (!rest.isEmpty() && !sink.accept(new CallerEvent.Token(passed.size(), rest))) {
            return false;
        }
        return sink.accept(answered);
    }

    /** The caller comes back with its key and gets the other answer whole. */
    private boolean differs() {
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
