package org.skylarkmast.relay.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.runner.Placement;
import org.skylarkmast.relay.runner.PromptPart;

/**
 * A request to be sent to runners.
 *
 * @param fields end-to-end fields of the caller
 * @param units amount of work: expected output tokens of a stream, 1 otherwise
 * @param placement what the request asks of its runner besides its work
 * @param stream whether the answer is a stream of events
 * @param streamEndHook called after all events were written and before the end of the stream is
 * @param relaysUnmarkedRefusal whether an answer whose status promises that the request was not run
 *     is passed on even if it does not say so otherwise: harmless if the request may run again, and
 *     right for the refusals of another entry node
 * @param sendCheck returns why the request must not be sent any more, empty if it may be; called
 *     immediately before each send
 * @param headTimeoutMs maximum time until the head of the answer, or {@link #NO_HEAD_TIMEOUT}
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
record OutboundRequest(
        String requestId,
        String method,
        String target,
        HeaderFields fields,
        byte[] body,
        int priority,
        double units,
        List<PromptPart> prompt,
        Placement placement,
        boolean stream,
        RequestSender.StreamEndHook streamEndHook,
        boolean relaysUnmarkedRefusal,
        Supplier<Optional<Refusal>> sendCheck,
        long headTimeoutMs) {

    /** The time until the head of the answer is limited by the deadline only. */
    static final long NO_HEAD_TIMEOUT = 0;

    /** Returns this request with {@code other} as its fields. */
    OutboundRequest withFields(HeaderFields other) {
        return new OutboundRequest(
                requestId,
                method,
                target,
                other,
                body,
                priority,
                units,
                prompt,
                placement,
                stream,
                streamEndHook,
                relaysUnmarkedRefusal,
                sendCheck,
                headTimeoutMs);
    }

    /** Returns this request with {@code other} as its fields, and with another check. */
    OutboundRequest withIdentity(HeaderFields other, Supplier<Optional<Refusal>> check) {
        return new OutboundRequest(
                requestId,
                method,
                target,
                other,
                body,
                priority,
                units,
                prompt,
                placement,
                stream,
                streamEndHook,
                relaysUnmarkedRefusal,
                check,
                headTimeoutMs);
    }

    /** Returns this request with a maximum of {@code ms} until the head of the answer. */
    OutboundRequest withHeadTimeoutMs(long ms) {
        return new OutboundRequest(
                requestId,
                method,
                target,
                fields,
                body,
                priority,
                units,
                prompt,
                placement,
                stream,
                streamEndHook,
                relaysUnmarkedRefusal,
                sendCheck,
                ms);
    }
}
