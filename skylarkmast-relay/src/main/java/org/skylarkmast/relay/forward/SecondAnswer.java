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

    private SecondAnswer() {}

    /** Whether {@code body} contains the start of an answer's head that names the request. */
    static boolean isIn(byte[] body, String requestId) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        for (int start = text.indexOf(STATUS_LINE_START);
                start >= 0;
                start = text.indexOf(STATUS_LINE_START, start + 1)) {
            String head = text.substring(start, Math.min(text.length(), start + MAX_HEAD_CHARS));
            if (head.lines()
                    .skip(1)
                    .takeWhile(line -> !line.isEmpty())
                    .anyMatch(line -> fieldValue(line).equals(requestId))) {
                return true;
            }
        }
        return false;
    }

    private static String fieldValue(String line) {
        return line.substring(line.indexOf(':') + 1).strip();
    }
}
