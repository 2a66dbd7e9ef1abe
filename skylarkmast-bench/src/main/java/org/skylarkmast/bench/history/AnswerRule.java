package org.skylarkmast.bench.history;

import java.util.List;

/** Computes how the engine stand-in answers a prompt. */
@FunctionalInterface
public interface AnswerRule {

    /** The prefix of every word of the answer to {@code prompt}, such as {@code w1f}. */
    String wordPrefix(List<HistoryRecord.Message> prompt);
}
