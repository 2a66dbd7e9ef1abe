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

/** Sends calls to plain services. Blocks; for virtual threads. */
final class ServiceSender {
    private static final long LOOKUP_TIMEOUT_MS = 3_000;
    private static final int SERVER_ERROR = 500;
    private static final int OK = 200;

    private final HttpClient client;
    private final CallEventSink sink;
    private final LongSupplier clockNs;

    ServiceSender(HttpClient client, CallEventSink sink, LongSupplier clockNs) {
        this.client = client;
        this.sink = sink;
        this.clockNs = clockNs;
    }

    /**
     * Sends the call and reports its outcome; reports nothing after {@code abort}.
     *
     * @param checksEpoch whether the target checks epochs, so that status 409 denotes a stale one
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
            case HttpOutcome.NotSent ignored -> sink.reportFailure(callId, CallFailure.NOT_SENT, 0);
            case HttpOutcome.Broken ignored -> sink.reportFailure(callId, CallFailure.BROKEN, 0);
            case HttpOutcome.TimedOut ignored ->
                    sink.reportFailure(callId, CallFailure.TIMED_OUT, 0);
            case HttpOutcome.Answered answered ->
                    onResponse(callId, answered, send.repeatable(), checksEpoch);
        }
    }

    private void onResponse(
            long callId, HttpOutcome.Answered answered, boolean repeatable, boolean checksEpoch) {
        CallFailure failure = ResponseStatus.failureOf(answered.status());
        boolean staleEpoch = checksEpoch && failure == CallFailure.STALE_EPOCH;
        boolean retry = repeatable && answered.status() >= SERVER_ERROR;
        if (failure == CallFailure.BUSY || staleEpoch || retry) {
            sink.reportFailure(callId, failure, ResponseStatus.retryAfterMs(answered));
            return;
        }
        String type = answered.header("content-type").orElse("application/octet-stream");
        sink.notifyPartition(
                callId,
                new ProgramEvent.ServiceFinished(callId, answered.status(), type, answered.body()));
        sink.notifyScheduler(new SchedulingEvent.Succeeded(callId, 0, 0, 0));
    }

    /** Asks the runners of a target whether a call was executed; the first that has it decides. */
    void lookUp(ProgramAction.LookUp lookUp, ProgramKey program, List<Target.Runner> runners) {
        String key = program + ":" + lookUp.idempotencyKey();
        String path = "/calls/" + URLEncoder.encode(key, StandardCharsets.UTF_8);
        ProgramEvent.LookupCompleted result =
                new ProgramEvent.LookupCompleted(lookUp.callId(), 0, "", new byte[0]);
        for (Target.Runner runner : runners) {
            HttpOutcome outcome =
                    client.send(ClientRequest.get(runner.address(), path, LOOKUP_TIMEOUT_MS));
            if (outcome instanceof HttpOutcome.Answered answered && answered.status() == OK) {
                JsonNode callRecord = JsonUtil.MAPPER.readTree(answered.body());
                result =
                        new ProgramEvent.LookupCompleted(
                                lookUp.callId(),
                                callRecord.path("status").asInt(0),
                                "application/json",
                                callRecord
                                        .path("body")
                                        .asString("")
                                        .getBytes(StandardCharsets.UTF_8));
                break;
            }
        }
        sink.notifyPartition(lookUp.callId(), result);
    }

    private ClientRequest request(
            ProgramAction.SendService send, String address, String traceParent) {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(send.deadlineNs() - clockNs.getAsLong());
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
                Math.max(1, remainingMs),
                !send.repeatable());
    }
}
