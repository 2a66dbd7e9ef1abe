package org.skylarkmast.bench.history;

import java.util.List;

/** Tells the answer that the engine stand-in gives to a prompt. */
@FunctionalInterface
public interface AnswerRule {

    /**
     * The mark that every word of the answer to {@code prompt} begins with, such as {@code w1f}.
     */
    String mark(List<HistoryRecord.Message> prompt);
}
