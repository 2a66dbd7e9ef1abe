package org.skylarkmast.bench.decision;

/** A call in progress in a {@link Simulation}, with the state that callers and metrics need. */
final class SimulatedCall {
    final SimulatedProgram program;
    final boolean model;
    final long serviceNs;
    final long submittedNs;
    final int owner;
    int attemptNumber;
    long arrivedNs;
    long firstOutputNs;

    /**
     * @param model whether the call goes to a model engine rather than a plain service
     * @param serviceNs processing time on a plain service, in ns
     * @param submittedNs time of submission, in ns of the virtual clock
     * @param owner index of the owner that schedules the call
     */
    SimulatedCall(
            SimulatedProgram program, boolean model, long serviceNs, long submittedNs, int owner) {
        this.program = program;
        this.model = model;
        this.serviceNs = serviceNs;
        this.submittedNs = submittedNs;
        this.owner = owner;
    }
}
