package org.skylarkmast.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Input of a response's head that fails at a line that HTTP/1.1 does not allow there (RFC 9112,
 * sections 4 and 5).
 *
 * <p>HttpCore's parsers accept more: they trim and join what they read, and let control characters
 * pass, so that a malformed line could be forwarded, or hide a field that bounds the body. Not
 * thread-safe.
 */
public final class ResponseInput extends FilterSessionInput {
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[0-9] [1-5][0-9]{2}(?<reason> .*)?", Pattern.DOTALL);

    private Part nextLine;

    private enum Part {
        STATUS_LINE,
        FIELD
    }

    private ResponseInput(SessionInputBuffer delegate, Part nextLine) {
        super(delegate);
        this.nextLine = nextLine;
    }

    /** Returns the input of one head. */
    public static ResponseInput ofHead(SessionInputBuffer input) {
        return new ResponseInput(input, Part.STATUS_LINE);
    }

    /**
     * Reads a line.
     *
     * @throws MalformedResponseException if a response must not contain the line there
     */
    @Override
    public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
        int start = line.length();
        int length = super.readLine(line, in);
        // An empty line precedes a status line or ends the fields.
        if (length > 0) {
            nextLine = check(line.subSequence(start, line.length()));
        }
        return length;
    }

    /** Checks a line and returns what the next one is. */
    private Part check(CharSequence line) throws MalformedResponseException {
        return switch (nextLine) {
            case STATUS_LINE -> {
                checkStatusLine(line);
                yield Part.FIELD;
            }
            case FIELD -> {
                checkField(line);
                yield Part.FIELD;
            }
        };
    }

    private static void checkStatusLine(CharSequence line) throws MalformedResponseException {
        Matcher matcher = STATUS_LINE.matcher(line);
        if (!matcher.matches() || !FieldSyntax.isValue(line)) {
            throw new MalformedResponseException("invalid status line");
        }
        rejectStatusLine(matcher.group("reason"));
    }

    private static void checkField(CharSequence line) throws MalformedResponseException {
        int nameLength = 0;
        while (nameLength < line.length() && line.charAt(nameLength) != ':') {
            nameLength++;
        }
        if (nameLength == line.length() || !FieldSyntax.isToken(line.subSequence(0, nameLength))) {
            throw new MalformedResponseException("invalid name of a field");
        }
        if (!FieldSyntax.isValue(line.subSequence(nameLength, line.length()))) {
            throw new MalformedResponseException("control character in a field");
        }
        rejectStatusLine(line);
    }

    /** Rejects a head that was cut off and runs on into the head of another response. */
    private static void rejectStatusLine(CharSequence text) throws MalformedResponseException {
        if (StatusLines.areIn(text)) {
            throw new MalformedResponseException("a response begins within the head of another");
        }
    }
}
