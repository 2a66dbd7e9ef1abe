package org.skylarkmast.core.program;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.skylarkmast.core.key.ProgramKey;

/** Events for a caller's request: any number of tokens, then exactly one final event. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = CallerEvent.Token.class, name = "token"),
    @JsonSubTypes.Type(value = CallerEvent.ModelAnswered.class, name = "model"),
    @JsonSubTypes.Type(value = CallerEvent.ServiceAnswered.class, name = "service"),
    @JsonSubTypes.Type(value = CallerEvent.Ended.class, name = "ended"),
    @JsonSubTypes.Type(value = CallerEvent.ProgramRead.class, name = "read"),
    @JsonSubTypes.Type(value = CallerEvent.Refused.class, name = "refused")
})
public sealed interface CallerEvent {

    /**
     * One chunk of a model's streamed answer.
     *
     * @param index position of the chunk in the answer, from 0
     */
    record Token(int index, String text) implements CallerEvent {}

    /** The complete answer of a model. */
    record ModelAnswered(String text, TurnSummary summary) implements CallerEvent {}

    /** The answer of a plain service. */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record ServiceAnswered(int status, String contentType, byte[] body, TurnSummary summary)
            implements CallerEvent {}

    /** The program has ended. */
    record Ended(ProgramKey program) implements CallerEvent {}

    /** A program's state and history. */
    record ProgramRead(
            ProgramKey program,
            String template,
            int turns,
            long spentTokens,
            long grantedTokens,
            List<Message> history,
            List<String> answeredKeys)
            implements CallerEvent {
        public ProgramRead {
            history = List.copyOf(history);
            answeredKeys = List.copyOf(answeredKeys);
        }
    }

    /** The request ended without the answer it asked for. */
    record Refused(Refusal refusal) implements CallerEvent {}

    /** Whether this is the last event of its request. */
    @JsonIgnore
    default boolean isFinal() {
        return !(this instanceof Token);
    }
}
