package org.skylarkmast.bench.decision;

/** One call under way in a {@link Simulation}, with what its caller and the metrics need. */
final class CallRun {
    final ProgramRun program;
    final boolean model;
    final long serviceNs;
    final long submittedNs;
    final int owner;
    int attempt;
    long arrivedNs;
    long firstOutputNs;

    /**
     * @param model whether it goes to an engine
     * @param serviceNs time a service works on it, in ns
     * @param submittedNs when it was submitted, in ns of the virtual clock
     * @param owner index of the owner that decides about it
     */
    CallRun(ProgramRun program, boolean model, long serviceNs, long submittedNs, int owner) {
        this.program = program;
        this.model = model;
        this.serviceNs = serviceNs;
        this.submittedNs = submittedNs;
        this.owner = owner;
    }
}
