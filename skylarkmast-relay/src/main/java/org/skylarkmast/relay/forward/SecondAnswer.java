package org.skylarkmast.relay.forward;

import java.nio.charset.StandardCharsets;

/**
 * Detects a second answer to a request behind the first one's body where that has no length, so
 * that nothing else tells its end.
 */
final class SecondAnswer {
    private static final String STATUS_LINE_START = "HTTP/1.";

    /** Maximum length of a head that is searched for the request's id. */
    private static final int MAX_HEAD_CHARS = 16_384;

    /** Maximum number of status lines behind which the request's id is searched for. */
    private static final int MAX_HEADS = 16;

    private SecondAnswer() {}

    /** Whether {@code body} contains the start of an answer's head that names the request. */
    static boolean isIn(byte[] body, String requestId) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        int start = text.indexOf(STATUS_LINE_START);
        for (int heads = 0; start >= 0 && heads < MAX_HEADS; heads++) {
            String head = text.substring(start, Math.min(text.length(), start + MAX_HEAD_CHARS));
            if (head.lines()
                    .skip(1)
                    .takeWhile(line -> !line.isEmpty())
                    .anyMatch(line -> fieldValue(line).equals(requestId))) {
                return true;
            }
            start = text.indexOf(STATUS_LINE_START, start + 1);
        }
        return false;
    }

    private static String fieldValue(String line) {
        return line.substring(line.indexOf(':') + 1).strip();
    }
}
