package org.skylarkmast.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Input of a response that fails at a line that HTTP/1.1 does not allow there: of the head, of a
 * chunk's size, or of the trailers (RFC 9112, sections 4, 5 and 7.1).
 *
 * <p>HttpCore's parsers accept more: they trim and join what they read, and let control characters
 * pass, so that a malformed line could be forwarded, or hide a field that bounds the body. Not
 * thread-safe.
 */
public final class ResponseInput extends FilterSessionInput {
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[0-9] [1-5][0-9]{2}(?<reason> .*)?", Pattern.DOTALL);
    private static final Pattern CHUNK_SIZE_LINE =
            Pattern.compile("(?<size>[0-9A-Fa-f]+)[ \t]*(;.*)?", Pattern.DOTALL);

    private Part nextLine;

    private enum Part {
        STATUS_LINE,
        FIELD,
        CHUNK_SIZE
    }

    private ResponseInput(SessionInputBuffer delegate, Part nextLine) {
        super(delegate);
        this.nextLine = nextLine;
    }

    /** Returns the input of one head. */
    public static ResponseInput ofHead(SessionInputBuffer input) {
        return new ResponseInput(input, Part.STATUS_LINE);
    }

    /** Returns the input of a body, whose lines are those of the chunked transfer encoding. */
    public static ResponseInput ofBody(SessionInputBuffer input) {
        return new ResponseInput(input, Part.CHUNK_SIZE);
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
        // An empty line precedes a status line, follows a chunk or ends the fields.
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
            case CHUNK_SIZE -> isLastChunk(line) ? Part.FIELD : Part.CHUNK_SIZE;
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

    private static boolean isLastChunk(CharSequence line) throws MalformedResponseException {
        Matcher matcher = CHUNK_SIZE_LINE.matcher(line);
        if (!matcher.matches() || !FieldSyntax.isValue(line)) {
            throw new MalformedResponseException("invalid size of a chunk");
        }
        return matcher.group("size").chars().allMatch(digit -> digit == '0');
    }

    /** Rejects a head that was cut off and runs on into the head of another response. */
    private static void rejectStatusLine(CharSequence text) throws MalformedResponseException {
        if (StatusLines.areIn(text)) {
            throw new MalformedResponseException("a response begins within the head of another");
        }
    }
}
