package org.skylarkmast.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds status lines of HTTP/1 responses in places where none belongs. */
public final class StatusLines {
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?=[ \r\n]|$)");

    private StatusLines() {}

    /** Returns whether {@code text}, a part of a head, contains the start of another head. */
    public static boolean areIn(CharSequence text) {
        return text != null && in(text).find();
    }

    /** Returns a matcher that finds the status lines of {@code text}. */
    public static Matcher in(CharSequence text) {
        return STATUS_LINE.matcher(text);
    }
}
