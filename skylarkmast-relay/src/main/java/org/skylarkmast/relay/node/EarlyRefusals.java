package org.skylarkmast.relay.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.Framing;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.http.InboundRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rejects requests that have not been received whole. */
final class EarlyRefusals {
    private static final Logger LOG = LoggerFactory.getLogger(EarlyRefusals.class);

    private static final int LINGER_MS = 500;

    /** Longest body of a rejected request that is read to keep the connection. */
    private static final long MAX_DISCARDED_BODY_BYTES = 64 << 10;

    /** Input that is read after an answer, unless the limits in force allow longer bodies. */
    private static final long MAX_DISCARDED_INPUT_BYTES = 1 << 20;

    /**
     * Retry-After of a request that a configuration still to come may allow, or that finds no room,
     * in seconds.
     */
    private static final String RETRY_AFTER_S = "1";

    private EarlyRefusals() {}

    /** Rejects a request and closes its connection; returns false. */
    static boolean refuse(CallerConnection connection, int status, String reason)
            throws IOException {
        LOG.atInfo()
                .addKeyValue("event", "request_refused")
                .addKeyValue("status", status)
                .addKeyValue("reason", reason)
                .log();
        HeaderFields fields = HeaderFields.NONE.with("Content-Type", "text/plain");
        connection.writeAnswer(
                status,
                status == 503 ? fields.with("Retry-After", RETRY_AFTER_S) : fields,
                (reason + "\n").getBytes(StandardCharsets.UTF_8),
                true);
        connection.closeAfterAnswer(LINGER_MS, MAX_DISCARDED_INPUT_BYTES);
        return false;
    }

    /**
     * Rejects a request by its head. Reads a short body first, without keeping it, as the
     * connection can serve other requests then.
     *
     * @param maxBodyBytes longest body that the limits in force allow
     * @param closeAfterAnswer as for {@link RequestServer#serve}
     * @return whether the connection may serve another request
     */
    static boolean refuseBeforeBody(
            CallerConnection connection,
            InboundRequest request,
            RequestServer.HeadRefusal refusal,
            long maxBodyBytes,
            BooleanSupplier closeAfterAnswer)
            throws IOException {
        boolean keepsConnection =
                request.framing() instanceof Framing.Length length
                        && length.bytes() <= MAX_DISCARDED_BODY_BYTES
                        && !request.expectsContinue();
        if (!keepsConnection) {
            refusal.write(connection, () -> true);
            connection.closeAfterAnswer(
                    LINGER_MS, Math.max(MAX_DISCARDED_INPUT_BYTES, maxBodyBytes));
            return false;
        }
        connection.discardBody(((Framing.Length) request.framing()).bytes());
        boolean reusable = refusal.write(connection, closeAfterAnswer);
        if (!reusable) {
            connection.close();
        }
        return reusable;
    }
}
