package org.skylarkmast.daemon.dispatch;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.program.ProgramAction;
import org.skylarkmast.core.program.ProgramEvent;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.core.scheduling.SchedulingEvent;
import org.skylarkmast.http.AbortSignal;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import tools.jackson.databind.JsonNode;

/** Sends calls to plain services; blocking, for virtual threads. */
final class ServiceSender {
    private static final long LOOK_UP_TIMEOUT_MS = 3_000;
    private static final int SERVER_ERROR = 500;
    private static final int OK = 200;

    private final HttpClient client;
    private final CallResults results;
    private final LongSupplier clockNs;

    ServiceSender(HttpClient client, CallResults results, LongSupplier clockNs) {
        this.client = client;
        this.results = results;
        this.clockNs = clockNs;
    }

    /**
     * Sends the call and tells its outcome.
     *
     * @param checksEpoch whether a conflict means that the sender's epoch is stale
     */
    void send(
            ProgramAction.SendService send,
            String address,
            boolean checksEpoch,
            String traceParent,
            AbortSignal abort) {
        HttpOutcome outcome = client.send(request(send, address, traceParent), abort);
        if (abort.aborted()) {
            return;
        }
        long callId = send.callId();
        switch (outcome) {
            case HttpOutcome.NotSent ignored -> results.failed(callId, CallFailure.NOT_SENT, 0);
            case HttpOutcome.Broken ignored -> results.failed(callId, CallFailure.BROKEN, 0);
            case HttpOutcome.TimedOut ignored -> results.failed(callId, CallFailure.TIMED_OUT, 0);
            case HttpOutcome.Answered answered ->
                    answered(callId, answered, send.repeatable(), checksEpoch);
        }
    }

    private void answered(
            long callId, HttpOutcome.Answered answered, boolean repeatable, boolean checksEpoch) {
        CallFailure failure = AnswerStatus.failureOf(answered.status());
        boolean stale = checksEpoch && failure == CallFailure.STALE_EPOCH;
        boolean again = repeatable && answered.status() >= SERVER_ERROR;
        if (failure == CallFailure.BUSY || stale || again) {
            results.failed(callId, failure, AnswerStatus.retryAfterMs(answered));
            return;
        }
        String type = answered.header("content-type").orElse("application/octet-stream");
        results.toPartition(
                callId,
                new ProgramEvent.ServiceFinished(callId, answered.status(), type, answered.body()));
        results.toScheduler(new SchedulingEvent.Succeeded(callId, 0, 0, 0));
    }

    /** Asks the runners of a target whether a call ran; the first that knows it is believed. */
    void lookUp(ProgramAction.LookUp lookUp, ProgramKey program, List<Target.Runner> runners) {
        String key = program + ":" + lookUp.idempotencyKey();
        String path = "/calls/" + URLEncoder.encode(key, StandardCharsets.UTF_8);
        ProgramEvent.LookupCompleted found =
                new ProgramEvent.LookupCompleted(lookUp.callId(), 0, "", new byte[0]);
        for (Target.Runner runner : runners) {
            HttpOutcome outcome =
                    client.send(ClientRequest.get(runner.address(), path, LOOK_UP_TIMEOUT_MS));
            if (outcome instanceof HttpOutcome.Answered answered && answered.status() == OK) {
                JsonNode ran = JsonUtil.MAPPER.readTree(answered.body());
                found =
                        new ProgramEvent.LookupCompleted(
                                lookUp.callId(),
                                ran.path("status").asInt(0),
                                "application/json",
                                ran.path("body").asString("").getBytes(StandardCharsets.UTF_8));
                break;
            }
        }
        results.toPartition(lookUp.callId(), found);
    }

    private ClientRequest request(
            ProgramAction.SendService send, String address, String traceParent) {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(send.deadlineNs() - clockNs.getAsLong());
        Map<String, String> headers =
                new HashMap<>(
                        TargetHeaders.of(
                                send.program(), send.idempotencyKey(), send.epoch(), traceParent));
        if (!send.call().contentType().isEmpty()) {
            headers.put("Content-Type", send.call().contentType());
        }
        return new ClientRequest(
                address,
                send.call().method(),
                send.call().path(),
                headers,
                send.call().body(),
                Math.max(1, leftMs),
                !send.repeatable());
    }
}
