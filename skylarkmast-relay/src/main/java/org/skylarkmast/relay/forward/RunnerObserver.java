package org.skylarkmast.relay.forward;

import java.io.IOException;
import java.util.OptionalDouble;
import org.skylarkmast.relay.http.RunnerAnswer;
import org.skylarkmast.relay.limit.RunnerRateLimits;
import org.skylarkmast.relay.limit.StatedRateLimit;
import org.skylarkmast.relay.runner.LeavingSource;
import org.skylarkmast.relay.runner.Runner;
import org.skylarkmast.relay.runner.RunnerPool;
import org.skylarkmast.relay.runner.SendConditions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records what one send tells about its runner. */
final class RunnerObserver implements SendObserver {
    private static final Logger LOG = LoggerFactory.getLogger(RunnerObserver.class);

    private static final int MISDIRECTED_REQUEST = 421;

    private final RunnerPool pool;
    private final RunnerRateLimits limits;
    private final RunnerContact contact;
    private final WireDialect dialect;
    private final OutboundRequest request;
    private final Runner runner;
    private SendConditions conditions;
    private boolean waiting;

    RunnerObserver(
            RunnerPool pool,
            RunnerRateLimits limits,
            RunnerContact contact,
            WireDialect dialect,
            OutboundRequest request,
            Runner runner) {
        this.pool = pool;
        this.limits = limits;
        this.contact = contact;
        this.dialect = dialect;
        this.request = request;
        this.runner = runner;
    }

    @Override
    public void connected(boolean reused) {
        contact.recordConnected(reused);
    }

    @Override
    public void connectFailed(IOException cause, long tookNs) {
        pool.recordConnectFailure(runner);
        contact.recordConnectFailure(runner, cause, tookNs);
    }

    @Override
    public void sending() {
        if (request.stream()) {
            conditions = pool.conditions(runner, request.prompt());
        }
        pool.recordStart(runner, request.placement().tokens());
        contact.recordWaiting();
        waiting = true;
    }

    /** An answer may be that of another runner that has got the address. */
    @Override
    public void headRead(RunnerAnswer answer) {
        if (!dialect.reportsLeaving(answer.fields())) {
            return;
        }
        String answeringId = dialect.answeringRunnerId(answer.fields()).orElse(runner.id());
        if (answeringId.equals(runner.id()) && answer.status() != MISDIRECTED_REQUEST) {
            pool.recordLeaving(
                    runner.id(), runner.startedAtMs(), LeavingSource.ANSWER, request.requestId());
        } else {
            pool.recordOtherLeaving(answeringId, runner, request.requestId());
        }
    }

    @Override
    public void answered(RunnerAnswer answer) {
        contact.recordAnswer();
        endWait();
        dialect.reportedLoad(answer.fields()).ifPresent(load -> pool.recordLoad(runner, load));
        // A misdirected request was answered by another runner.
        if (answer.status() != MISDIRECTED_REQUEST) {
            StatedRateLimit stated = dialect.statedRateLimit(answer.fields());
            limits.record(runner, stated, request.requestId());
        }
    }

    @Override
    public void rejected(RunnerAnswer answer, boolean overloaded) {
        if (overloaded) {
            pool.recordOverload(runner);
        }
        OptionalDouble limit = limits.of(runner);
        LOG.atInfo()
                .addKeyValue("event", "runner_rejected")
                .addKeyValue("request", request.requestId())
                .addKeyValue("runner", runner.id())
                .addKeyValue("status", answer.status())
                .addKeyValue("runnerLimit", limit.isPresent() ? limit.getAsDouble() : "")
                .log();
    }

    @Override
    public void succeeded(long tookNs, double units) {
        pool.recordSuccess(runner, tookNs, units, request.prompt());
    }

    @Override
    public void streamed(long firstEventNs, long generationNs, double generatedUnits) {
        pool.recordStream(runner, conditions, firstEventNs, generationNs, generatedUnits);
    }

    @Override
    public void failed() {
        pool.recordFailure(runner);
    }

    @Override
    public void ended() {
        pool.recordEnd(runner, request.placement().tokens());
        endWait();
    }

    private void endWait() {
        if (waiting) {
            waiting = false;
            contact.recordWaitEnded();
        }
    }
}
