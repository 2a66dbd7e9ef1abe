package org.skylarkmast.core.scheduling;

import java.util.List;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.key.ProgramKey;

/** An input of the scheduler. */
public sealed interface SchedulingEvent {

    /** A call is ready to run. */
    record Submitted(CallSubmission call) implements SchedulingEvent {}

    /** The caller no longer waits for the call, which is removed from the queue or cancelled. */
    record Withdrawn(long callId) implements SchedulingEvent {}

    /** The first answer token of a call arrived. */
    record FirstOutput(long callId) implements SchedulingEvent {}

    /**
     * A call succeeded.
     *
     * @param promptTokens length of the prompt as counted by the runner
     * @param cachedTokens prompt tokens that the runner took from its cache
     * @param outputTokens length of the answer in tokens
     */
    record Succeeded(long callId, int promptTokens, int cachedTokens, int outputTokens)
            implements SchedulingEvent {}

    /**
     * An attempt failed.
     *
     * @param retryAfterMs time for which the runner asked not to be sent calls, or 0
     */
    record Failed(long callId, CallFailure failure, long retryAfterMs) implements SchedulingEvent {}

    /** A runner's load report was read. */
    record LoadReported(RunnerReport report) implements SchedulingEvent {}

    /**
     * A runner reported a change of its prefix cache.
     *
     * @param sequence the runner's own counter of these reports; a gap means that reports were lost
     * @param cachedTokens prefix tokens of the program that the runner now caches; 0 after an
     *     eviction
     */
    record CacheReported(String runner, long sequence, ProgramKey program, int cachedTokens)
            implements SchedulingEvent {}

    /** A restart of a runner was detected, so its cache is empty. */
    record RunnerRestarted(String runner) implements SchedulingEvent {}

    /** Another node reported the load of its calls; it replaces the node's previous report. */
    record PeerLoadReported(String peer, List<PeerLoad> loads) implements SchedulingEvent {
        public PeerLoadReported {
            loads = List.copyOf(loads);
        }
    }

    /** Another node has left; its reported load is removed. */
    record PeerGone(String peer) implements SchedulingEvent {}

    /** A new configuration is in force. */
    record ConfigurationChanged(Configuration configuration) implements SchedulingEvent {}

    /** A runner was marked as leaving in the host list, or the mark was removed. */
    record RunnerLeaving(String runner, boolean leaving) implements SchedulingEvent {}

    /**
     * This node took over a program from another node. Which runners cache its prefix is not known,
     * so its end is announced to every engine.
     */
    record ProgramAdopted(ProgramKey program) implements SchedulingEvent {}

    /** A program or sub-agent ended; engines should drop their caches of it. */
    record ProgramEnded(ProgramKey program) implements SchedulingEvent {}

    /** A runner confirmed that it caches nothing of the program any longer. */
    record CacheReleased(String runner, ProgramKey program) implements SchedulingEvent {}

    /** Time has passed; sent several times a second. */
    record Tick() implements SchedulingEvent {}
}
