package org.skylarkmast.daemon.dispatch;

import org.skylarkmast.core.program.ProgramEvent;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.core.scheduling.SchedulingEvent;

/** Tells the partition and then the scheduler what became of an attempt. */
interface CallResults {

    /** Something happened to a call. */
    void toPartition(long callId, ProgramEvent event);

    /** Something happened to a call that the scheduler learns from. */
    void toScheduler(SchedulingEvent event);

    /** An attempt failed; the partition is told first, as another attempt may follow. */
    default void failed(long callId, CallFailure failure, long retryAfterMs) {
        toPartition(callId, new ProgramEvent.AttemptFailed(callId, failure));
        toScheduler(new SchedulingEvent.Failed(callId, failure, retryAfterMs));
    }
}
