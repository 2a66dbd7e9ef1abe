package org.skylarkmast.core.program;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.key.ProgramKey;

/** One program or sub-agent: its history, its requests and the order of its calls. */
final class AgentState {
    final ProgramKey key;
    final ProgramTree tree;
    final List<JournalRecord.TurnCompleted> turns = new ArrayList<>();
    final Map<String, StoredAnswer> storedAnswers = new LinkedHashMap<>();

    /** Intents of a former owner, or of failed calls, whose outcome is not recorded. */
    final Map<String, JournalRecord.IntentRecorded> openIntents = new HashMap<>();

    final Map<String, Call> calls = new HashMap<>();
    final Deque<Call> queue = new ArrayDeque<>();
    Call running;

    AgentState(ProgramKey key, ProgramTree tree) {
        this.key = key;
        this.tree = tree;
    }

    /** All messages so far, including the answers. */
    List<Message> history() {
        List<Message> messages = new ArrayList<>();
        for (JournalRecord.TurnCompleted turn : turns) {
            messages.addAll(turn.messages());
            messages.add(new Message("assistant", turn.answer()));
        }
        return messages;
    }

    /** The program's state and history, for a caller. */
    CallerEvent.ProgramRead read() {
        return new CallerEvent.ProgramRead(
                key,
                tree.template,
                tree.turns,
                tree.budget.spentTokens(),
                tree.budget.grantedTokens(),
                history(),
                List.copyOf(storedAnswers.keySet()));
    }

    /** Whether a call is running or queued. */
    boolean isBusy() {
        return !calls.isEmpty();
    }
}
