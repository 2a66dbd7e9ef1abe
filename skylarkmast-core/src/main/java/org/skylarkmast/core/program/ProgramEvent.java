package org.skylarkmast.core.program;

import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.core.scheduling.RefusalReason;

/** What a partition's programs are told. */
public sealed interface ProgramEvent {

    /**
     * A caller's request arrived.
     *
     * @param waiterId names the caller's wait; events for it carry the id
     */
    record Requested(long waiterId, CallerRequest request) implements ProgramEvent {}

    /** The caller no longer waits; its call goes on and can be joined again by its key. */
    record WaiterGone(long waiterId) implements ProgramEvent {}

    /** An appended record got further. */
    record Appended(long ticket, AppendOutcome outcome) implements ProgramEvent {}

    /** The scheduler chose a runner. */
    record Dispatched(long callId, String runner, int attempt) implements ProgramEvent {}

    /** The scheduler refused a call that was never sent. */
    record CallRefused(long callId, RefusalReason reason, long retryAfterMs)
            implements ProgramEvent {}

    /** The scheduler gave up on a call. */
    record CallGivenUp(long callId, CallFailure lastFailure, long retryAfterMs)
            implements ProgramEvent {}

    /** An attempt failed; another may follow. */
    record AttemptFailed(long callId, CallFailure failure) implements ProgramEvent {}

    /** A piece of a model's answer arrived; indexes count from 0 in each attempt. */
    record TokenArrived(long callId, int index, String text) implements ProgramEvent {}

    /** A model's answer is whole. */
    record ModelFinished(
            long callId, String text, int promptTokens, int cachedTokens, int outputTokens)
            implements ProgramEvent {}

    /** A plain service answered. */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record ServiceFinished(long callId, int status, String contentType, byte[] body)
            implements ProgramEvent {}

    /** A target was asked about a call by its key and knew it ({@code status} above 0) or not. */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record LookedUp(long callId, int status, String contentType, byte[] body)
            implements ProgramEvent {}

    /** A new configuration is in force. */
    record ConfigurationChanged(Configuration configuration) implements ProgramEvent {}

    /** The journal became, or is no longer, unable to commit. */
    record JournalDegraded(boolean degraded) implements ProgramEvent {}

    /** The partition is claimed back under a new epoch with its state still true. */
    record EpochChanged(long epoch) implements ProgramEvent {}

    /** The partition is another node's; nothing more is sent or answered well from here. */
    record OwnershipLost() implements ProgramEvent {}

    /** The partition is to be handed over; new requests are turned away. */
    record HandOverBegun() implements ProgramEvent {}

    /** Time passed; sent about once a second. */
    record Tick() implements ProgramEvent {}
}
