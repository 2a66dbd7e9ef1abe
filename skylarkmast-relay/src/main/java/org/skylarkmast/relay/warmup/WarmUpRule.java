package org.skylarkmast.relay.warmup;

import java.util.Optional;

/** Decides before each request of a warm-up whether to end it; without threads or clock. */
final class WarmUpRule {
    private final WarmUpLimits limits;

    WarmUpRule(WarmUpLimits limits) {
        this.limits = limits;
    }

    /**
     * The state of a warm-up.
     *
     * @param rounds rounds run
     * @param processorMs processor time of the process since the warm-up began
     * @param elapsedMs time since the warm-up began
     * @param workWaits whether a caller or another entry node is connected
     * @param ready whether the node is ready
     */
    record Progress(
            int rounds, long processorMs, long elapsedMs, boolean workWaits, boolean ready) {}

    /** Returns why the warm-up ends, or empty if another request may be sent. */
    Optional<WarmUpEnd> decide(Progress progress) {
        if (progress.workWaits()) {
            return Optional.of(WarmUpEnd.WORK_ARRIVED);
        }
        if (!progress.ready()) {
            return Optional.of(WarmUpEnd.NOT_READY);
        }
        if (progress.rounds() >= limits.rounds()) {
            return Optional.of(WarmUpEnd.COMPLETED);
        }
        if (progress.processorMs() >= limits.processorMs()) {
            return Optional.of(WarmUpEnd.PROCESSOR_TIME);
        }
        if (progress.elapsedMs() >= limits.durationMs()) {
            return Optional.of(WarmUpEnd.DURATION);
        }
        return Optional.empty();
    }

    /**
     * Decides while the node is not ready yet.
     *
     * @param waitedMs time since the wait began
     * @return why the warm-up is given up, or empty if it may still begin
     */
    Optional<WarmUpEnd> decideWhileNotReady(long waitedMs, boolean workWaits) {
        if (workWaits) {
            return Optional.of(WarmUpEnd.WORK_ARRIVED);
        }
        return waitedMs >= limits.readyTimeoutMs()
                ? Optional.of(WarmUpEnd.NOT_READY)
                : Optional.empty();
    }
}
