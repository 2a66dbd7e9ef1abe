package org.skylarkmast.bench.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.key.ProgramKey;

/** Executes program plans: sequential calls, pauses and sub-agents. */
final class ProgramDriver {
    private static final long MAX_ADMISSION_WAIT_NS = 60_000_000_000L;

    private final VirtualClock clock;
    private final RunMetrics metrics;
    private final CallSink sink;
    private final Map<ProgramKey, SimulatedProgram> live = new HashMap<>();

    /** Receives the programs' calls and ends. */
    interface CallSink {
        void submit(SimulatedProgram program, boolean model);

        void onProgramEnded(ProgramKey program);
    }

    ProgramDriver(VirtualClock clock, RunMetrics metrics, CallSink sink) {
        this.clock = clock;
        this.metrics = metrics;
        this.sink = sink;
    }

    Map<ProgramKey, SimulatedProgram> live() {
        return live;
    }

    void start(ProgramPlan plan) {
        metrics.recordProgramStart(plan.key().workspace());
        start(plan, null);
    }

    private void start(ProgramPlan plan, SimulatedProgram parent) {
        SimulatedProgram program = new SimulatedProgram(plan, parent, clock.nowNs());
        live.put(plan.key(), program);
        sink.submit(program, true);
    }

    void onCallSucceeded(SimulatedProgram program, boolean model) {
        if (program.ended()) {
            return;
        }
        if (model) {
            program.appendAnswer();
            if (program.turn().serviceNs() > 0) {
                sink.submit(program, false);
                return;
            }
        }
        startSubAgents(program);
    }

    private void startSubAgents(SimulatedProgram program) {
        List<ProgramPlan> subAgents = program.turn().subAgents();
        if (subAgents.isEmpty()) {
            pause(program);
            return;
        }
        program.startSubAgents(subAgents.size());
        subAgents.forEach(plan -> start(plan, program));
    }

    private void pause(SimulatedProgram program) {
        if (program.isLastTurn()) {
            complete(program);
            return;
        }
        ProgramPlan.Turn turn = program.turn();
        program.root().addThinkNs(program.parent == null ? turn.thinkNs() : 0);
        long pauseNs = turn.toolNs() + (program.parent == null ? turn.thinkNs() : 0);
        clock.schedule(
                pauseNs,
                () -> {
                    if (!program.ended()) {
                        program.nextTurn();
                        sink.submit(program, true);
                    }
                });
    }

    private void complete(SimulatedProgram program) {
        remove(program);
        if (program.parent != null) {
            if (!program.parent.ended() && program.parent.onSubAgentEnded()) {
                pause(program.parent);
            }
            return;
        }
        long latencyNs = program.latencyNs(clock.nowNs());
        metrics.recordProgramEnd(
                program.key().workspace(), latencyNs, program.overdueNs(clock.nowNs()) <= 0);
    }

    /** Handles a call that was refused without being run; the caller retries it. */
    void onCallRefused(SimulatedProgram program, boolean model, long retryAfterNs) {
        if (program.ended()) {
            return;
        }
        SimulatedProgram root = program.root();
        long retryAtNs = clock.nowNs() + retryAfterNs;
        if (program.awaitsFirstAnswer()) {
            program.setAdmittedNs(retryAtNs);
            if (program.latencyNs(retryAtNs) > MAX_ADMISSION_WAIT_NS) {
                metrics.recordTurnedAway();
                onCallFailed(program);
                return;
            }
        } else if (root.overdueNs(retryAtNs) > 0) {
            onCallFailed(program);
            return;
        }
        clock.schedule(
                retryAfterNs,
                () -> {
                    if (!program.ended()) {
                        sink.submit(program, model);
                    }
                });
    }

    /** Handles a call that failed permanently: fails its root program with all sub-agents. */
    void onCallFailed(SimulatedProgram program) {
        SimulatedProgram root = program.root();
        if (root.ended()) {
            return;
        }
        metrics.recordProgramFailure(MAX_ADMISSION_WAIT_NS + root.plan.deadlineNs());
        List.copyOf(live.values()).stream()
                .filter(other -> other != root && other.root() == root)
                .forEach(this::remove);
        remove(root);
    }

    /** Fails the programs that are still live at the end of the run. */
    void failRemaining() {
        List.copyOf(live.values()).stream()
                .filter(program -> program.parent == null)
                .forEach(this::onCallFailed);
    }

    private void remove(SimulatedProgram program) {
        program.markEnded();
        live.remove(program.key());
        sink.onProgramEnded(program.key());
    }
}
