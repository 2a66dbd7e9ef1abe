package org.skylarkmast.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Input of a message that fails if the connection ends inside it.
 *
 * <p>HttpCore takes the end of the input for the end of a line, and for the empty line that
 * completes a head or trailers. Not thread-safe.
 */
final class CompleteLineInput extends FilterSessionInput {
    /** Memory that HttpCore allocates for a line beside two bytes for each of its characters. */
    private static final int LINE_OVERHEAD_BYTES = 256;

    private static final int CR_LF_BYTES = 2;

    private final IntakeMeter meter;
    private final LineEndListener lineEnds;
    private boolean insideMessage;

    private CompleteLineInput(
            SessionInputBuffer delegate,
            boolean insideMessage,
            IntakeMeter meter,
            LineEndListener lineEnds) {
        super(delegate);
        this.insideMessage = insideMessage;
        this.meter = meter;
        this.lineEnds = lineEnds;
    }

    /** Called after each line. */
    @FunctionalInterface
    private interface LineEndListener {
        void lineEnded(boolean hasCarriageReturn) throws IOException;
    }

    /**
     * Returns the input of a request's head; the connection may end before its first byte.
     *
     * @param meter charged with each line
     */
    static CompleteLineInput ofRequestHead(SessionInputBuffer input, IntakeMeter meter) {
        return new CompleteLineInput(input, false, meter, _ -> {});
    }

    /** Returns the input of a request's body. */
    static CompleteLineInput ofRequestBody(SessionInputBuffer input) {
        return new CompleteLineInput(input, true, IntakeMeter.UNLIMITED, _ -> {});
    }

    /** Returns the input of a response's head; the connection may end before its first byte. */
    static CompleteLineInput ofResponseHead(SessionInputBuffer input) {
        return new CompleteLineInput(input, false, IntakeMeter.UNLIMITED, new LineEnds()::accept);
    }

    /** Returns the input of a response's body. */
    static CompleteLineInput ofResponseBody(SessionInputBuffer input) {
        return new CompleteLineInput(input, true, IntakeMeter.UNLIMITED, new LineEnds()::accept);
    }

    /**
     * Reads a line.
     *
     * @throws ConnectionClosedException if the connection ended inside the message
     * @throws MalformedResponseException if the lines of a response end differently
     */
    @Override
    public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
        ObservedInput observed = new ObservedInput(in);
        int bufferedBytes = length();
        int length = super.readLine(line, observed);
        // The buffer reads on only until it holds a line feed.
        if (observed.ended && (insideMessage || length >= 0)) {
            throw new ConnectionClosedException("connection ended inside a message");
        }
        insideMessage = true;
        if (length >= 0) {
            int lineBytes = bufferedBytes + observed.bytes - length();
            lineEnds.lineEnded(lineBytes - length == CR_LF_BYTES);
        }
        meter.charge(LINE_OVERHEAD_BYTES + 2L * Math.max(0, length));
        return length;
    }

    /** Counts the bytes read and remembers whether the input ended. */
    private static final class ObservedInput extends FilterInputStream {
        private int bytes;
        private boolean ended;

        ObservedInput(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            int next = super.read();
            record(next < 0 ? -1 : 1);
            return next;
        }

        @Override
        public int read(byte[] target, int offset, int length) throws IOException {
            int count = super.read(target, offset, length);
            record(count);
            return count;
        }

        private void record(int count) {
            ended |= count < 0;
            bytes += Math.max(0, count);
        }
    }
}
