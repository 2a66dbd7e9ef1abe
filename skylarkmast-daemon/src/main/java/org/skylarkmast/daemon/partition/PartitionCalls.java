package org.skylarkmast.daemon.partition;

import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.program.ProgramAction;
import org.skylarkmast.core.scheduling.CallSubmission;

/** Takes calls that partitions want run. */
public interface PartitionCalls {

    /**
     * Queues a call.
     *
     * @param traceParent trace context of the request, or empty
     */
    void submit(CallSubmission call, String traceParent);

    /** Takes a call back and cuts it if it is under way. */
    void withdraw(long callId);

    /** Sends a model call. */
    void sendModel(PartitionRuntime sender, ProgramAction.SendModel send);

    /** Sends a service call. */
    void sendService(PartitionRuntime sender, ProgramAction.SendService send);

    /** Asks a target about a call. */
    void lookUp(PartitionRuntime sender, ProgramAction.LookUp lookUp);

    /** A program that another node ran before is this node's now. */
    void adopt(ProgramKey program);

    /** A program is gone. */
    void release(ProgramAction.ReleaseProgram release);
}
