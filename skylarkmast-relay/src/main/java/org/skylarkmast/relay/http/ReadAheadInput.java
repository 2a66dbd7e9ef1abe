package org.skylarkmast.relay.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.skylarkmast.http.IntakeMeter;
import org.skylarkmast.http.LineEnds;

/**
 * Buffered input of a connection that detects a disconnect while nothing is being read.
 *
 * <p>A read-ahead runs on its own thread and reports when the peer closes the connection; bytes
 * that it reads are buffered for the next read. Not thread-safe: one thread reads and starts
 * read-aheads.
 */
final class ReadAheadInput implements SessionInputBuffer {
    private static final int BUFFER_BYTES = 8192;

    /** Size of the buffer while no message is being read; most heads fit. */
    private static final int IDLE_BUFFER_BYTES = 1024;

    /**
     * Memory that a line of a head takes in the parser beside its characters: a line of a few bytes
     * costs this much.
     */
    private static final int LINE_OVERHEAD_BYTES = 256;

    /** Bytes of lines after which they are charged. */
    private static final int CHARGE_STEP_BYTES = 2048;

    /**
     * Maximum length of the lines that follow one another after the head: a chunk's size with its
     * extensions, or all trailers.
     */
    private static final int MAX_BODY_LINES_BYTES = 8192;

    private final InputStream socketInput;
    private final IntSupplier maxHeadBytes;
    private final boolean requireCrLf;
    private final IntakeMeter meter;
    private final BasicHttpTransportMetrics metrics = new BasicHttpTransportMetrics();

    private byte[] buffer = new byte[IDLE_BUFFER_BYTES];
    private int position;
    private int limit;
    private CompletableFuture<Integer> readAhead;
    private boolean inHead;
    private int headBytes;
    private int headLimitBytes;
    private int bodyLinesBytes;
    private long unchargedBytes;
    private LineEnds lineEnds = new LineEnds();

    /** As the other constructor, without charges. */
    ReadAheadInput(InputStream socketInput, IntSupplier maxHeadBytes, boolean requireCrLf) {
        this(socketInput, maxHeadBytes, requireCrLf, IntakeMeter.UNLIMITED);
    }

    /**
     * @param maxHeadBytes returns the maximum size in bytes of a message head that begins now
     * @param requireCrLf whether a line must end with CR LF and a folded header line is rejected;
     *     otherwise all lines of a head, and all those of a body, must end alike
     * @param meter charged with the lines of a message
     */
    ReadAheadInput(
            InputStream socketInput,
            IntSupplier maxHeadBytes,
            boolean requireCrLf,
            IntakeMeter meter) {
        this.socketInput = socketInput;
        this.maxHeadBytes = maxHeadBytes;
        this.requireCrLf = requireCrLf;
        this.meter = meter;
    }

    /** Starts counting the bytes of a message head. */
    void beginHead() {
        inHead = true;
        headBytes = 0;
        headLimitBytes = maxHeadBytes.getAsInt();
        bodyLinesBytes = 0;
        lineEnds = new LineEnds();
    }

    /** Stops counting head bytes; later lines belong to the body. */
    void endHead() {
        inHead = false;
        lineEnds = new LineEnds();
    }

    /**
     * Waits for the first byte of the next message.
     *
     * @return false if the peer closed the connection
     */
    boolean awaitInput() throws IOException {
        return position < limit || fill() > 0;
    }

    /**
     * Starts a read-ahead unless input is buffered or a read-ahead is pending.
     *
     * @param onDisconnect called on the read-ahead thread if the peer closes the connection or it
     *     breaks
     * @param onInput called on the read-ahead thread if bytes arrive
     */
    void startReadAhead(Runnable onDisconnect, Runnable onInput) {
        if (position < limit || readAhead != null) {
            return;
        }
        if (buffer.length > IDLE_BUFFER_BYTES) {
            buffer = new byte[IDLE_BUFFER_BYTES];
            position = 0;
            limit = 0;
        }
        CompletableFuture<Integer> readResult = new CompletableFuture<>();
        readAhead = readResult;
        Thread.ofVirtual()
                .start(
                        () -> {
                            int count;
                            try {
                                count = socketInput.read(buffer, 0, buffer.length);
                            } catch (IOException e) {
                                // A failed read is handled like the end of input; the cause is not
                                // needed.
                                count = -1;
                            }
                            readResult.complete(count);
                            (count < 0 ? onDisconnect : onInput).run();
                        });
    }

    /** Returns whether no input is buffered and no read-ahead has completed. */
    boolean isIdle() {
        return position >= limit && (readAhead == null || !readAhead.isDone());
    }

    private int fill() throws IOException {
        int count;
        if (readAhead != null) {
            count = readAhead.join();
            readAhead = null;
        } else {
            if (limit == buffer.length && buffer.length < BUFFER_BYTES) {
                buffer = new byte[BUFFER_BYTES];
            }
            count = socketInput.read(buffer, 0, buffer.length);
        }
        position = 0;
        limit = Math.max(count, 0);
        return count;
    }

    @Override
    public int length() {
        return limit - position;
    }

    @Override
    public int capacity() {
        return BUFFER_BYTES;
    }

    @Override
    public int available() {
        return BUFFER_BYTES - length();
    }

    @Override
    public int read(byte[] target, int offset, int length, InputStream placeholder)
            throws IOException {
        if (position >= limit && fill() < 0) {
            return -1;
        }
        bodyLinesBytes = 0;
        int count = Math.min(length, limit - position);
        System.arraycopy(buffer, position, target, offset, count);
        position += count;
        return count;
    }

    @Override
    public int read(byte[] target, InputStream placeholder) throws IOException {
        return read(target, 0, target.length, placeholder);
    }

    @Override
    public int read(InputStream placeholder) throws IOException {
        if (position >= limit && fill() < 0) {
            return -1;
        }
        return buffer[position++] & 0xFF;
    }

    /**
     * Reads a line of a head, of a chunk's size or of trailers.
     *
     * @return its length, or -1 if the connection ended before the first byte of a message
     * @throws MessageTruncatedException if the connection ended later: the parsers of heads and
     *     trailers would take the end of the input for the empty line that completes them
     */
    @Override
    public int readLine(CharArrayBuffer line, InputStream placeholder) throws IOException {
        int start = line.length();
        boolean afterCarriageReturn = false;
        while (true) {
            int next = read(placeholder);
            if (next < 0) {
                if (inHead && headBytes == 0) {
                    return -1;
                }
                throw new MessageTruncatedException(
                        inHead
                                ? "connection ended after " + headBytes + " bytes of a head"
                                : "connection ended between the lines of a body");
            }
            countLineByte();
            if (next == '\n') {
                if (!afterCarriageReturn && requireCrLf) {
                    throw new MalformedMessageException("line feed without carriage return");
                }
                lineEnds.accept(afterCarriageReturn);
                break;
            }
            if (afterCarriageReturn) {
                throw new MalformedMessageException("carriage return within a line");
            }
            if (next == '\r') {
                afterCarriageReturn = true;
            } else {
                line.append((char) next);
            }
        }
        rejectFoldedLine(line, start);
        if (inHead) {
            chargeLine(line.length() - start);
        }
        return line.length() - start;
    }

    private void chargeLine(int length) throws IOException {
        unchargedBytes += LINE_OVERHEAD_BYTES + 2L * length;
        if (unchargedBytes >= CHARGE_STEP_BYTES) {
            meter.charge(unchargedBytes);
            unchargedBytes = 0;
        }
    }

    private void countLineByte() throws HeadTooLargeException, MalformedMessageException {
        if (inHead) {
            if (++headBytes > headLimitBytes) {
                throw new HeadTooLargeException(headLimitBytes);
            }
        } else if (++bodyLinesBytes > MAX_BODY_LINES_BYTES) {
            throw new MalformedMessageException(
                    "lines of a body are longer than " + MAX_BODY_LINES_BYTES + " bytes");
        }
    }

    private void rejectFoldedLine(CharArrayBuffer line, int start)
            throws MalformedMessageException {
        if (requireCrLf && inHead && line.length() > start) {
            char first = line.charAt(start);
            if (first == ' ' || first == '\t') {
                throw new MalformedMessageException("line starts with white space");
            }
        }
    }

    @Override
    public HttpTransportMetrics getMetrics() {
        return metrics;
    }
}
