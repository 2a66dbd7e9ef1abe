package org.skylarkmast.core.scheduling;

import java.util.List;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.key.ProgramKey;

/** What the scheduler is told. */
public sealed interface SchedulingEvent {

    /** A call is ready to run. */
    record Submitted(CallSubmission call) implements SchedulingEvent {}

    /** Nobody waits for the call any longer; it is dropped from the queue or cancelled. */
    record Withdrawn(long callId) implements SchedulingEvent {}

    /** The first answer token of a call arrived. */
    record FirstOutput(long callId) implements SchedulingEvent {}

    /**
     * A call ended well.
     *
     * @param promptTokens length of the prompt as the runner counted it
     * @param cachedTokens prompt tokens the runner took from its cache
     * @param outputTokens length of the answer
     */
    record Succeeded(long callId, int promptTokens, int cachedTokens, int outputTokens)
            implements SchedulingEvent {}

    /**
     * An attempt failed.
     *
     * @param retryAfterMs when the runner asked to be left alone, or 0
     */
    record Failed(long callId, CallFailure failure, long retryAfterMs) implements SchedulingEvent {}

    /** A runner's load report was read. */
    record LoadReported(RunnerReport report) implements SchedulingEvent {}

    /**
     * A runner reported a change of its prefix cache.
     *
     * @param sequence the runner's own count of its reports; a gap means reports were missed
     * @param cachedTokens prefix tokens of the program that it now holds; 0 after an eviction
     */
    record CacheReported(String runner, long sequence, ProgramKey program, int cachedTokens)
            implements SchedulingEvent {}

    /** A runner was found restarted, so its cache is empty. */
    record RunnerRestarted(String runner) implements SchedulingEvent {}

    /** Another node told what it has under way; it replaces what that node told before. */
    record PeerLoadReported(String peer, List<PeerLoad> loads) implements SchedulingEvent {
        public PeerLoadReported {
            loads = List.copyOf(loads);
        }
    }

    /** Another node is gone; its load is forgotten. */
    record PeerGone(String peer) implements SchedulingEvent {}

    /** A new configuration is in force. */
    record ConfigurationChanged(Configuration configuration) implements SchedulingEvent {}

    /** The host list says a runner is leaving, or no longer so. */
    record RunnerLeaving(String runner, boolean leaving) implements SchedulingEvent {}

    /**
     * A program that another node ran before is this node's now; where its prefix is cached is not
     * known, so its end is told to every engine.
     */
    record ProgramAdopted(ProgramKey program) implements SchedulingEvent {}

    /** A program or sub-agent ended; engines should drop what they hold for it. */
    record ProgramEnded(ProgramKey program) implements SchedulingEvent {}

    /** A runner confirmed that it holds nothing for the program any longer. */
    record CacheReleased(String runner, ProgramKey program) implements SchedulingEvent {}

    /** Time passed; sent several times a second. */
    record Tick() implements SchedulingEvent {}
}
