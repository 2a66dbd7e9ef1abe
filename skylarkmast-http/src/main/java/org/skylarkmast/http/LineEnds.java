package org.skylarkmast.http;

/**
 * Checks that the lines of a response's head, or of its body, end alike: all with CR LF, or all
 * with LF, which RFC 9112, section 2.2, lets a recipient accept. Among lines that end with CR LF, a
 * line feed alone is a control character inside a line. Not thread-safe.
 */
public final class LineEnds {
    private LineEnd expected = LineEnd.UNKNOWN;

    private enum LineEnd {
        UNKNOWN,
        CR_LF,
        LF
    }

    /**
     * Accepts the next line.
     *
     * @param hasCarriageReturn whether a carriage return precedes its line feed
     * @throws MalformedResponseException if an earlier line ended otherwise
     */
    public void accept(boolean hasCarriageReturn) throws MalformedResponseException {
        LineEnd lineEnd = hasCarriageReturn ? LineEnd.CR_LF : LineEnd.LF;
        if (expected != LineEnd.UNKNOWN && expected != lineEnd) {
            throw new MalformedResponseException("the lines of a response end differently");
        }
        expected = lineEnd;
    }
}
