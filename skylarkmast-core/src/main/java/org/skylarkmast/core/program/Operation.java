package org.skylarkmast.core.program;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** What a caller asks of a program. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Operation.ModelTurn.class, name = "model"),
    @JsonSubTypes.Type(value = Operation.ServiceCall.class, name = "service"),
    @JsonSubTypes.Type(value = Operation.EndProgram.class, name = "end"),
    @JsonSubTypes.Type(value = Operation.ReadProgram.class, name = "read")
})
public sealed interface Operation {

    /**
     * Adds messages to the program's history and asks a model for the next one.
     *
     * @param messages the new messages of this turn
     * @param maxTokens most tokens of the answer; 0 leaves it to the model's limit
     */
    record ModelTurn(String model, List<Message> messages, int maxTokens) implements Operation {
        public ModelTurn {
            messages = List.copyOf(messages);
        }
    }

    /** Calls an operation of a plain service. */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and compared by digest only
    record ServiceCall(String target, String method, String path, String contentType, byte[] body)
            implements Operation {}

    /** Ends the program, or one sub-agent with everything below it. */
    record EndProgram() implements Operation {}

    /** Reads the program's state and history; changes nothing. */
    record ReadProgram() implements Operation {}
}
