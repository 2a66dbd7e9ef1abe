package org.skylarkmast.daemon.partition;

import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.program.ProgramAction;
import org.skylarkmast.core.scheduling.CallSubmission;

/** Executes the calls that partitions request. */
public interface PartitionCallHandler {

    /**
     * Queues a call.
     *
     * @param traceParent trace context of the request, or empty
     */
    void submit(CallSubmission call, String traceParent);

    /** Withdraws a call and aborts it if it is in flight. */
    void withdraw(long callId);

    /** Sends a model call. */
    void sendModel(PartitionRuntime sender, ProgramAction.SendModel send);

    /** Sends a service call. */
    void sendService(PartitionRuntime sender, ProgramAction.SendService send);

    /** Queries a target for the state of a call. */
    void lookUp(PartitionRuntime sender, ProgramAction.LookUp lookUp);

    /** Called for each program that this node takes over from another node. */
    void adopt(ProgramKey program);

    /** Called when a program no longer exists. */
    void release(ProgramAction.ReleaseProgram release);
}
