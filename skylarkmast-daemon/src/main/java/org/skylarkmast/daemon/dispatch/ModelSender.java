package org.skylarkmast.daemon.dispatch;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.program.Message;
import org.skylarkmast.core.program.ProgramAction;
import org.skylarkmast.core.program.ProgramEvent;
import org.skylarkmast.core.scheduling.CallFailure;
import org.skylarkmast.core.scheduling.SchedulingEvent;
import org.skylarkmast.http.AbortSignal;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;

/** Sends model calls to engines and reads the streamed answers. Blocks; for virtual threads. */
final class ModelSender {

    /** Time without data after which a stream is broken; longer than any prefill at full load. */
    private static final long STREAM_IDLE_TIMEOUT_MS = 30_000;

    private static final int MAX_RESUMES = 2;
    private static final long CANCEL_TIMEOUT_MS = 1_000;

    private final HttpClient client;
    private final CallEventSink sink;
    private final LongSupplier clockNs;

    ModelSender(HttpClient client, CallEventSink sink, LongSupplier clockNs) {
        this.client = client;
        this.sink = sink;
        this.clockNs = clockNs;
    }

    /** The body of an OpenAI-style chat completion request. */
    private record ChatBody(
            String model,
            List<Message> messages,
            int max_tokens,
            boolean stream,
            Map<String, Boolean> stream_options) {}

    /** Sends the call and reports its outcome; reports nothing more after {@code abort}. */
    void send(ProgramAction.SendModel send, String address, String traceParent, AbortSignal abort) {
        EngineStream stream =
                new EngineStream(
                        (index, text) -> {
                            if (index == 0) {
                                sink.notifyScheduler(
                                        new SchedulingEvent.FirstOutput(send.callId()));
                            }
                            sink.notifyPartition(
                                    send.callId(),
                                    new ProgramEvent.TokenArrived(send.callId(), index, text));
                        });
        HttpOutcome outcome =
                client.stream(request(send, address, traceParent), abort, stream::onLine);
        for (int i = 0; i < MAX_RESUMES && shouldResume(outcome, stream, abort); i++) {
            String path = streamPath(stream) + "?offset=" + stream.tokenCount();
            ClientRequest resume = ClientRequest.get(address, path, idleTimeoutMs(send));
            outcome = client.stream(resume, abort, stream::onLine);
        }
        if (abort.aborted()) {
            cancel(stream, address);
            return;
        }
        reportOutcome(send.callId(), outcome, stream);
    }

    private static boolean shouldResume(
            HttpOutcome outcome, EngineStream stream, AbortSignal abort) {
        return !(outcome instanceof HttpOutcome.NotSent)
                && !stream.isComplete()
                && stream.isResumable()
                && !abort.aborted();
    }

    private void reportOutcome(long callId, HttpOutcome outcome, EngineStream stream) {
        if (stream.isComplete()) {
            sink.notifyPartition(
                    callId,
                    new ProgramEvent.ModelFinished(
                            callId,
                            stream.text(),
                            stream.promptTokens(),
                            stream.cachedTokens(),
                            stream.outputTokens()));
            sink.notifyScheduler(
                    new SchedulingEvent.Succeeded(
                            callId,
                            stream.promptTokens(),
                            stream.cachedTokens(),
                            stream.outputTokens()));
            return;
        }
        boolean started = stream.tokenCount() > 0;
        switch (outcome) {
            case HttpOutcome.NotSent ignored ->
                    sink.reportFailure(
                            callId, started ? CallFailure.BROKEN : CallFailure.NOT_SENT, 0);
            case HttpOutcome.Broken ignored -> sink.reportFailure(callId, CallFailure.BROKEN, 0);
            case HttpOutcome.TimedOut ignored ->
                    sink.reportFailure(callId, CallFailure.TIMED_OUT, 0);
            case HttpOutcome.Answered answered when started ->
                    sink.reportFailure(callId, CallFailure.BROKEN, 0);
            case HttpOutcome.Answered answered ->
                    sink.reportFailure(
                            callId,
                            ResponseStatus.failureOf(answered.status()),
                            ResponseStatus.retryAfterMs(answered));
        }
    }

    private ClientRequest request(
            ProgramAction.SendModel send, String address, String traceParent) {
        ChatBody body =
                new ChatBody(
                        send.model(),
                        send.messages(),
                        send.maxTokens(),
                        true,
                        Map.of("include_usage", true));
        Map<String, String> headers =
                new HashMap<>(
                        TargetHeaders.of(
                                send.program(), send.idempotencyKey(), send.epoch(), traceParent));
        headers.put("Content-Type", "application/json");
        return new ClientRequest(
                address,
                "POST",
                "/v1/chat/completions",
                headers,
                JsonUtil.toBytes(body),
                idleTimeoutMs(send),
                false);
    }

    private long idleTimeoutMs(ProgramAction.SendModel send) {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(send.deadlineNs() - clockNs.getAsLong());
        return Math.max(1, Math.min(STREAM_IDLE_TIMEOUT_MS, remainingMs));
    }

    private void cancel(EngineStream stream, String address) {
        if (!stream.streamId().isEmpty()) {
            client.send(
                    new ClientRequest(
                            address,
                            "DELETE",
                            streamPath(stream),
                            Map.of(),
                            new byte[0],
                            CANCEL_TIMEOUT_MS,
                            false));
        }
    }

    private static String streamPath(EngineStream stream) {
        return "/v1/streams/" + URLEncoder.encode(stream.streamId(), StandardCharsets.UTF_8);
    }
}
