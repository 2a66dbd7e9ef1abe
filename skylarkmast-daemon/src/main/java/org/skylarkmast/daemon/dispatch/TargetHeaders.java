package org.skylarkmast.daemon.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.skylarkmast.core.key.ProgramKey;

/** The headers of every call to a runner. */
final class TargetHeaders {
    private TargetHeaders() {}

    static Map<String, String> of(
            ProgramKey program, String idempotencyKey, long epoch, String traceParent) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Idempotency-Key", program + ":" + idempotencyKey);
        headers.put("Skylarkmast-Program", program.toString());
        headers.put("Skylarkmast-Epoch", Long.toString(epoch));
        if (!traceParent.isEmpty()) {
            headers.put("traceparent", traceParent);
        }
        return headers;
    }
}
