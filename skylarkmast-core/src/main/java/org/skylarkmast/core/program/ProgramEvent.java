package org.skylarkmast.core.program;

import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.core.scheduling.RefusalReason;

/** Input events of a {@link PartitionStateMachine}. */
public sealed interface ProgramEvent {

    /**
     * A caller's request arrived.
     *
     * @param waiterId identifies the waiting caller; every event sent to it carries this id
     */
    record Requested(long waiterId, CallerRequest request) implements ProgramEvent {}

    /**
     * The caller no longer waits.
     *
     * <p>Its call is dropped if it is not at a runner, cannot have run and has no other waiting
     * caller; otherwise it continues and can be joined again by its idempotency key.
     */
    record WaiterDisconnected(long waiterId) implements ProgramEvent {}

    /** An appended record reached a stage of {@link AppendOutcome}. */
    record Appended(long ticket, AppendOutcome outcome) implements ProgramEvent {}

    /** The scheduler chose a runner. */
    record Dispatched(long callId, String runner, int attempt) implements ProgramEvent {}

    /** The scheduler refused a call that was never sent. */
    record CallRefused(long callId, RefusalReason reason, long retryAfterMs)
            implements ProgramEvent {}

    /** The scheduler makes no further attempt at a call. */
    record CallAbandoned(long callId, CallFailure lastFailure, long retryAfterMs)
            implements ProgramEvent {}

    /** An attempt failed; another may follow. */
    record AttemptFailed(long callId, CallFailure failure) implements ProgramEvent {}

    /** A chunk of a model's answer arrived; indexes start at 0 in each attempt. */
    record TokenArrived(long callId, int index, String text) implements ProgramEvent {}

    /** A model's answer is complete. */
    record ModelFinished(
            long callId, String text, int promptTokens, int cachedTokens, int outputTokens)
            implements ProgramEvent {}

    /** A plain service answered. */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record ServiceFinished(long callId, int status, String contentType, byte[] body)
            implements ProgramEvent {}

    /**
     * A target was asked about a call by its idempotency key.
     *
     * @param status status of the recorded answer, or 0 if no runner of the target returned one
     */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record LookupCompleted(long callId, int status, String contentType, byte[] body)
            implements ProgramEvent {}

    /** A new configuration is in force. */
    record ConfigurationChanged(Configuration configuration) implements ProgramEvent {}

    /** The journal became unable to commit records, or is able to commit them again. */
    record JournalDegraded(boolean degraded) implements ProgramEvent {}

    /** The node reclaimed the partition under a new epoch; its state is still valid. */
    record EpochChanged(long epoch) implements ProgramEvent {}

    /**
     * Another node owns the partition; this node sends no more calls and returns no more successful
     * answers for it.
     */
    record OwnershipLost() implements ProgramEvent {}

    /** A hand-over of the partition began; new requests are refused. */
    record HandOverBegun() implements ProgramEvent {}

    /** Periodic timer event, about once a second. */
    record Tick() implements ProgramEvent {}
}
