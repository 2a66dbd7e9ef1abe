package org.skylarkmast.daemon.dispatch;

import org.skylarkmast.core.program.ProgramEvent;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.core.scheduling.SchedulingEvent;

/** Receives the events of attempts, for the partition and for the scheduler. */
interface CallEventSink {

    /** Passes an event of a call to the call's partition. */
    void notifyPartition(long callId, ProgramEvent event);

    /** Passes an event to the scheduler. */
    void notifyScheduler(SchedulingEvent event);

    /**
     * Reports a failed attempt. The partition is notified first, since the scheduler may dispatch
     * another attempt.
     */
    default void reportFailure(long callId, CallFailure failure, long retryAfterMs) {
        notifyPartition(callId, new ProgramEvent.AttemptFailed(callId, failure));
        notifyScheduler(new SchedulingEvent.Failed(callId, failure, retryAfterMs));
    }
}
