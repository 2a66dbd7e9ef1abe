package org.skylarkmast.relay.forward;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import org.skylarkmast.http.StatusLines;

/**
 * Detects a second answer to a request inside the first one's body: behind its end if it has no
 * length, or in the place of the rest if the body was cut.
 */
final class SecondAnswer {
    /** Maximum length of a head that is searched for the request's id. */
    private static final int MAX_HEAD_CHARS = 16_384;

    /** Maximum number of status lines behind which the request's id is searched for. */
    private static final int MAX_HEADS = 16;

    private SecondAnswer() {}

    /** Whether {@code body} contains the start of an answer's head that names the request. */
    static boolean isIn(byte[] body, String requestId) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        Matcher line = StatusLines.in(text);
        for (int heads = 0; heads < MAX_HEADS && line.find(); heads++) {
            int start = line.start();
            String head = text.substring(start, Math.min(text.length(), start + MAX_HEAD_CHARS));
            if (head.lines()
                    .skip(1)
                    .takeWhile(field -> !field.isEmpty())
                    .anyMatch(field -> fieldValue(field).equals(requestId))) {
                return true;
            }
        }
        return false;
    }

    private static String fieldValue(String line) {
        return line.substring(line.indexOf(':') + 1).strip();
    }
}
