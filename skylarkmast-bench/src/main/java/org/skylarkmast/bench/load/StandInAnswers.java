package org.skylarkmast.bench.load;

import java.util.List;
import org.skylarkmast.bench.history.AnswerRule;
import org.skylarkmast.bench.history.HistoryRecord;

/** The engine stand-in's rule: every word of an answer begins with a hash of the whole prompt. */
public final class StandInAnswers implements AnswerRule {

    @Override
    public String mark(List<HistoryRecord.Message> prompt) {
        StringBuilder words = new StringBuilder();
        for (HistoryRecord.Message message : prompt) {
            words.append(message.role()).append(' ').append(message.content()).append('\n');
        }
        return "w" + Integer.toHexString(words.toString().hashCode());
    }
}
