package org.skylarkmast.relay.ledger;

import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Calls storage nodes, one per call, over HTTP; thread-safe. */
public final class StorageNodeClient {
    private static final Logger LOG = LoggerFactory.getLogger(StorageNodeClient.class);

    /** Media type of ledger messages. */
    public static final String MEDIA_TYPE = "application/x-skylarkmast-ledger";

    /** HTTP status of a response that carries a newer view instead of a result. */
    public static final int STATUS_NEWER_VIEW = 409;

    private final HttpClient http;
    private static final int STATUS_UNAVAILABLE = 503;

    private final Consumer<LedgerView> onView;
    private final Consumer<LedgerView.Member> onOtherProcess;

    /**
     * @param onView receives the newer views that storage nodes respond with
     */
    public StorageNodeClient(HttpClient http, Consumer<LedgerView> onView) {
        this(http, onView, _ -> {});
    }

    /**
     * @param onView receives the newer views that storage nodes respond with
     * @param onOtherProcess receives a member at whose address another process answers a ping
     */
    public StorageNodeClient(
            HttpClient http,
            Consumer<LedgerView> onView,
            Consumer<LedgerView.Member> onOtherProcess) {
        this.http = http;
        this.onView = onView;
        this.onOtherProcess = onOtherProcess;
    }

    /**
     * Calls {@code operation} at {@code member}.
     *
     * @return the decoded response, or null if the call failed or the storage node rejected it
     */
    public <T> T call(
            LedgerView.Member member,
            long viewVersion,
            LedgerOperation operation,
            byte[] body,
            long timeoutMs,
            LedgerCodec.Reader<T> reader) {
        ClientRequest send =
                new ClientRequest(
                        member.address(),
                        "POST",
                        "/ledger/" + operation.path() + "?view=" + viewVersion,
                        Map.of("Content-Type", MEDIA_TYPE),
                        body,
                        timeoutMs,
                        false);
        HttpOutcome outcome = http.send(send);
        String reason;
        try {
            if (outcome instanceof HttpOutcome.Answered answered) {
                if (isOfOtherProcess(operation, answered)) {
                    onOtherProcess.accept(member);
                } else if (answered.status() == 200) {
                    return LedgerCodec.decode(answered.body(), reader);
                }
                if (answered.status() == STATUS_NEWER_VIEW) {
                    onView.accept(LedgerCodec.decode(answered.body(), LedgerCodec::readView));
                }
                reason = "status " + answered.status();
            } else {
                reason = outcome.toString();
            }
        } catch (IOException e) {
            reason = "unreadable answer: " + e.getMessage();
        }
        LOG.atDebug()
                .addKeyValue("event", "keeper_call_failed")
                .addKeyValue("keeper", member.node())
                .addKeyValue("operation", operation)
                .addKeyValue("view", viewVersion)
                .addKeyValue("reason", reason)
                .log();
        return null;
    }

    /** A storage node answers a ping with a ledger message, or with 503 if it fails. */
    private static boolean isOfOtherProcess(
            LedgerOperation operation, HttpOutcome.Answered answered) {
        return operation == LedgerOperation.PING
                && answered.status() != STATUS_UNAVAILABLE
                && !answered.header("content-type").orElse("").equals(MEDIA_TYPE);
    }
}
