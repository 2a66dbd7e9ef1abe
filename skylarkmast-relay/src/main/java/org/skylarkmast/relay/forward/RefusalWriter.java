package org.skylarkmast.relay.forward;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.HeaderFields;

/** Writes and logs error answers that the entry node generates itself; thread-safe. */
final class RefusalWriter {
    private static final int UNAUTHORIZED = 401;

    private final WireDialect dialect;
    private final RequestLog requestLog;

    RefusalWriter(WireDialect dialect, RequestLog requestLog) {
        this.dialect = dialect;
        this.requestLog = requestLog;
    }

    /** Writes {@code refusal}; returns whether the connection may serve another request. */
    boolean refuse(
            CallerConnection caller,
            String requestId,
            Refusal refusal,
            BooleanSupplier closeAfterAnswer,
            RequestLog.Entry entry) {
        boolean close = closeAfterAnswer.getAsBoolean();
        HeaderFields fields =
                dialect.localAnswerFields(requestId)
                        .with("Content-Type", "text/plain; charset=utf-8");
        if (refusal.retryAfterMs() != Refusal.NEVER) {
            fields = fields.with("Retry-After", seconds(refusal.retryAfterMs()));
        }
        if (refusal.status() == UNAUTHORIZED) {
            fields = fields.with("WWW-Authenticate", "Bearer");
        }
        entry.status = refusal.status();
        entry.reason = refusal.reason();
        try {
            byte[] text = (refusal.reason() + "\n").getBytes(StandardCharsets.UTF_8);
            caller.writeAnswer(refusal.status(), fields, text, close);
            requestLog.logEnd("refused", entry);
            return !close;
        } catch (IOException e) {
            requestLog.logEnd("refusal_unread", entry);
            return false;
        }
    }

    /**
     * Returns a time in seconds with three decimals. {@code String.format} would load over a
     * hundred classes for the first rejection and use the decimal sign of the locale.
     */
    static String seconds(long ms) {
        String thousandths = Long.toString(1000 + ms % 1000);
        return ms / 1000 + "." + thousandths.substring(1);
    }
}
