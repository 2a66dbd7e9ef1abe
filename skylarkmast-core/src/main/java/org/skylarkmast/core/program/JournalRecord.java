package org.skylarkmast.core.program;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.skylarkmast.core.key.ProgramKey;

/** Journal records of programs; replaying those of a partition in order rebuilds its state. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = JournalRecord.ProgramStarted.class, name = "started"),
    @JsonSubTypes.Type(value = JournalRecord.GrantTaken.class, name = "grant"),
    @JsonSubTypes.Type(value = JournalRecord.GrantReturned.class, name = "return"),
    @JsonSubTypes.Type(value = JournalRecord.IntentRecorded.class, name = "intent"),
    @JsonSubTypes.Type(value = JournalRecord.IntentWithdrawn.class, name = "withdrawn"),
    @JsonSubTypes.Type(value = JournalRecord.TurnCompleted.class, name = "turn"),
    @JsonSubTypes.Type(value = JournalRecord.ServiceCompleted.class, name = "service"),
    @JsonSubTypes.Type(value = JournalRecord.ProgramEnded.class, name = "ended"),
    @JsonSubTypes.Type(value = JournalRecord.TreeSnapshot.class, name = "snapshot")
})
public sealed interface JournalRecord {

    /** A program or sub-agent made its first call. */
    record ProgramStarted(ProgramKey program, String template) implements JournalRecord {}

    /** Tokens were granted to a root program, before any call uses them. */
    record GrantTaken(ProgramKey root, long tokens) implements JournalRecord {}

    /**
     * All calls of a root program are settled and its unused grants are returned.
     *
     * @param spentTokens tokens spent since the program started
     */
    record GrantReturned(ProgramKey root, long spentTokens) implements JournalRecord {}

    /** A service call is about to be sent. */
    record IntentRecorded(ProgramKey program, String idempotencyKey, String digest, String target)
            implements JournalRecord {}

    /** A service call whose intent was recorded provably did not run. */
    record IntentWithdrawn(ProgramKey program, String idempotencyKey) implements JournalRecord {}

    /** A model call completed. */
    record TurnCompleted(
            ProgramKey program,
            String idempotencyKey,
            String digest,
            List<Message> messages,
            String answer,
            TurnSummary summary)
            implements JournalRecord {
        public TurnCompleted {
            messages = List.copyOf(messages);
        }
    }

    /**
     * A service call was answered.
     *
     * @param body the answer, or null if it was too large to keep
     */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record ServiceCompleted(
            ProgramKey program,
            String idempotencyKey,
            String digest,
            int status,
            String contentType,
            byte[] body,
            TurnSummary summary)
            implements JournalRecord {}

    /** A program or sub-agent ended with everything below it. */
    record ProgramEnded(ProgramKey program) implements JournalRecord {}

    /**
     * The state of one root program with its sub-agents, as records that rebuild it.
     *
     * @param inheritedOpenCalls whether a former owner may have sent model calls of which there is
     *     no record
     */
    record TreeSnapshot(
            ProgramKey root,
            long grantedTokens,
            long spentTokens,
            boolean inheritedOpenCalls,
            List<JournalRecord> records)
            implements JournalRecord {
        public TreeSnapshot {
            records = List.copyOf(records);
        }
    }
}
