package org.skylarkmast.core.scheduling;

import org.skylarkmast.core.scheduling.routing.RunnerState;

/** A call between its submission and its end. Owned by the scheduler's event loop. */
final class PendingCall {
    final CallSubmission submission;
    final DestinationPool pool;
    final boolean newProgram;

    long queuedAtNs;
    int attempts;

    /** The runner of the current or last attempt; null before the first attempt. */
    RunnerState runner;

    boolean inFlight;
    long sentAtNs;
    long firstOutputAtNs;
    boolean outputStarted;
    double expectedUncachedTokens;
    double expectedOutputTokens;
    double prefillTokensToFirstOutput;
    double predictedFirstOutputNs;
    int concurrentCalls;

    /** The last failure after which the call may have run; null if there was none. */
    CallFailure ambiguousFailure;

    PendingCall(
            CallSubmission submission, DestinationPool pool, boolean newProgram, long queuedAtNs) {
        this.submission = submission;
        this.pool = pool;
        this.newProgram = newProgram;
        this.queuedAtNs = queuedAtNs;
    }

    /**
     * Fraction of the prompt tokens prefilled before the first answer token that belong to other
     * calls.
     */
    double otherCallsPrefillShare() {
        return prefillTokensToFirstOutput <= 0
                ? 0
                : 1 - expectedUncachedTokens / prefillTokensToFirstOutput;
    }

    boolean isModelCall() {
        return submission.destination() instanceof Destination.ModelDestination;
    }
}
