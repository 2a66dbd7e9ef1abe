package org.skylarkmast.core.scheduling;

import org.skylarkmast.core.scheduling.routing.RunnerState;

/** A call between its submission and its end. */
final class PendingCall {
    final CallSubmission submission;
    final DestinationPool pool;
    final boolean newProgram;

    long queuedAtNs;
    int attempts;

    /** Where it is under way, or where it was last; null before the first send. */
    RunnerState runner;

    boolean inFlight;
    long sentAtNs;
    long firstOutputAtNs;
    boolean answering;
    double expectedUncachedTokens;
    double expectedOutputTokens;
    double prefillTokensAhead;
    double predictedFirstOutputNs;
    int callsBeside;

    /** The last failure after which the call may have run; null if there was none. */
    CallFailure ambiguousFailure;

    PendingCall(
            CallSubmission submission, DestinationPool pool, boolean newProgram, long queuedAtNs) {
        this.submission = submission;
        this.pool = pool;
        this.newProgram = newProgram;
        this.queuedAtNs = queuedAtNs;
    }

    /** Share of the prompt tokens worked on until its first answer token that were others'. */
    double shareOfOthers() {
        return prefillTokensAhead <= 0 ? 0 : 1 - expectedUncachedTokens / prefillTokensAhead;
    }

    boolean isModelCall() {
        return submission.destination() instanceof Destination.ModelDestination;
    }
}
