package org.skylarkmast.relay.http;

import java.util.Locale;
import org.apache.hc.core5.http.impl.EnglishReasonPhraseCatalog;

/** Reason phrases for status lines. */
final class ReasonPhrases {

    private ReasonPhrases() {}

    static String of(int status) {
        String reason = EnglishReasonPhraseCatalog.INSTANCE.getReason(status, Locale.ENGLISH);
        return reason == null ? "Unknown" : reason;
    }
}
