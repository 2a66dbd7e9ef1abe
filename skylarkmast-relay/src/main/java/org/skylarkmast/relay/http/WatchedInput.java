package org.skylarkmast.relay.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * The input of a connection, which can be watched while nobody reads from it.
 *
 * <p>A watch reads ahead on a thread of its own and tells when the peer closes; what it reads is
 * kept for the next reader. One thread reads and starts watches.
 */
final class WatchedInput implements SessionInputBuffer {
    private static final int BUFFER_BYTES = 8192;

    private final InputStream socketInput;
    private final int maxHeadBytes;
    private final boolean strictLines;
    private final BasicHttpTransportMetrics metrics = new BasicHttpTransportMetrics();

    private byte[] buffer = new byte[BUFFER_BYTES];
    private int position;
    private int limit;
    private CompletableFuture<Integer> watch;
    private boolean inHead;
    private int headBytes;

    /**
     * @param maxHeadBytes longest head accepted, in bytes
     * @param strictLines whether lines must end with carriage return and line feed
     */
    WatchedInput(InputStream socketInput, int maxHeadBytes, boolean strictLines) {
        this.socketInput = socketInput;
        this.maxHeadBytes = maxHeadBytes;
        this.strictLines = strictLines;
    }

    /** Starts to count the bytes of a message's head. */
    void beginHead() {
        inHead = true;
        headBytes = 0;
    }

    /** Ends the count; lines that follow belong to the body. */
    void endHead() {
        inHead = false;
    }

    /**
     * Waits for the first byte of the next message.
     *
     * @return false if the peer closed
     */
    boolean awaitInput() throws IOException {
        return position < limit || fill() > 0;
    }

    /**
     * Reads ahead in the background unless input is there already or a watch runs.
     *
     * @param onEnd called if the peer closes or the connection breaks
     * @param onInput called if bytes arrive
     */
    void watch(Runnable onEnd, Runnable onInput) {
        if (position < limit || watch != null) {
            return;
        }
        CompletableFuture<Integer> started = new CompletableFuture<>();
        watch = started;
        Thread.ofVirtual()
                .start(
                        () -> {
                            int count;
                            try {
                                count = socketInput.read(buffer, 0, buffer.length);
                            } catch (IOException e) {
                                // The reader meets the same state; the cause is of no use to it.
                                count = -1;
                            }
                            started.complete(count);
                            (count < 0 ? onEnd : onInput).run();
                        });
    }

    /** Whether a watch runs that has neither read nor met the end. */
    boolean quiet() {
        return position >= limit && (watch == null || !watch.isDone());
    }

    private int fill() throws IOException {
        int count;
        if (watch != null) {
            count = watch.join();
            watch = null;
        } else {
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
    public int read(byte[] target, int offset, int length, InputStream unused) throws IOException {
        if (position >= limit && fill() < 0) {
            return -1;
        }
        int count = Math.min(length, limit - position);
        System.arraycopy(buffer, position, target, offset, count);
        position += count;
        return count;
    }

    @Override
    public int read(byte[] target, InputStream unused) throws IOException {
        return read(target, 0, target.length, unused);
    }

    @Override
    public int read(InputStream unused) throws IOException {
        if (position >= limit && fill() < 0) {
            return -1;
        }
        return buffer[position++] & 0xFF;
    }

    @Override
    public int readLine(CharArrayBuffer line, InputStream unused) throws IOException {
        int start = line.length();
        boolean afterReturn = false;
        while (true) {
            int next = read(unused);
            if (next < 0) {
                if (line.length() > start || afterReturn) {
                    throw new org.apache.hc.core5.http.ConnectionClosedException(
                            "connection ended within a line");
                }
                return -1;
            }
            count();
            if (next == '\n') {
                if (!afterReturn && strictLines) {
                    throw new MalformedMessageException("line feed without carriage return");
                }
                break;
            }
            if (afterReturn) {
                throw new MalformedMessageException("carriage return within a line");
            }
            if (next == '\r') {
                afterReturn = true;
            } else {
                line.append((char) next);
            }
        }
        checkContinuation(line, start);
        return line.length() - start;
    }

    private void count() throws HeadTooLargeException {
        if (inHead && ++headBytes > maxHeadBytes) {
            throw new HeadTooLargeException(maxHeadBytes);
        }
    }

    private void checkContinuation(CharArrayBuffer line, int start)
            throws MalformedMessageException {
        if (strictLines && inHead && line.length() > start) {
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
