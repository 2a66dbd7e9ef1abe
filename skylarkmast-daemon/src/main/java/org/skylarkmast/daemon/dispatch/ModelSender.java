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

/** Sends model calls to engines and follows their streams; blocking, for virtual threads. */
final class ModelSender {

    /** Silence after which a stream counts as broken; longer than any prefill at full load. */
    private static final long SILENCE_MS = 30_000;

    private static final int MAX_RESUMES = 2;
    private static final long CANCEL_TIMEOUT_MS = 1_000;

    private final HttpClient client;
    private final CallResults results;
    private final LongSupplier clockNs;

    ModelSender(HttpClient client, CallResults results, LongSupplier clockNs) {
        this.client = client;
        this.results = results;
        this.clockNs = clockNs;
    }

    /** The body of an OpenAI-style request. */
    private record ChatBody(
            String model,
            List<Message> messages,
            int max_tokens,
            boolean stream,
            Map<String, Boolean> stream_options) {}

    /** Sends the call and tells its outcome; says nothing more once {@code abort} was called. */
    void send(ProgramAction.SendModel send, String address, String traceParent, AbortSignal abort) {
        EngineStream stream =
                new EngineStream(
                        (index, text) -> {
                            if (index == 0) {
                                results.toScheduler(new SchedulingEvent.FirstOutput(send.callId()));
                            }
                            results.toPartition(
                                    send.callId(),
                                    new ProgramEvent.TokenArrived(send.callId(), index, text));
                        });
        HttpOutcome outcome =
                client.stream(request(send, address, traceParent), abort, stream::onLine);
        for (int i = 0; i < MAX_RESUMES && resumes(outcome, stream, abort); i++) {
            String path = streamPath(stream) + "?offset=" + stream.tokens();
            ClientRequest resume = ClientRequest.get(address, path, silenceMs(send));
            outcome = client.stream(resume, abort, stream::onLine);
        }
        if (abort.aborted()) {
            cancel(stream, address);
            return;
        }
        tell(send.callId(), outcome, stream);
    }

    private static boolean resumes(HttpOutcome outcome, EngineStream stream, AbortSignal abort) {
        return !(outcome instanceof HttpOutcome.NotSent)
                && !stream.whole()
                && stream.resumable()
                && !abort.aborted();
    }

    private void tell(long callId, HttpOutcome outcome, EngineStream stream) {
        if (stream.whole()) {
            results.toPartition(
                    callId,
                    new ProgramEvent.ModelFinished(
                            callId,
                            stream.text(),
                            stream.promptTokens(),
                            stream.cachedTokens(),
                            stream.outputTokens()));
            results.toScheduler(
                    new SchedulingEvent.Succeeded(
                            callId,
                            stream.promptTokens(),
                            stream.cachedTokens(),
                            stream.outputTokens()));
            return;
        }
        boolean begun = stream.tokens() > 0;
        switch (outcome) {
            case HttpOutcome.NotSent ignored ->
                    results.failed(callId, begun ? CallFailure.BROKEN : CallFailure.NOT_SENT, 0);
            case HttpOutcome.Broken ignored -> results.failed(callId, CallFailure.BROKEN, 0);
            case HttpOutcome.TimedOut ignored -> results.failed(callId, CallFailure.TIMED_OUT, 0);
            case HttpOutcome.Answered answered when begun ->
                    results.failed(callId, CallFailure.BROKEN, 0);
            case HttpOutcome.Answered answered ->
                    results.failed(
                            callId,
                            AnswerStatus.failureOf(answered.status()),
                            AnswerStatus.retryAfterMs(answered));
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
                silenceMs(send),
                false);
    }

    private long silenceMs(ProgramAction.SendModel send) {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(send.deadlineNs() - clockNs.getAsLong());
        return Math.max(1, Math.min(SILENCE_MS, leftMs));
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
