package org.skylarkmast.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** An input that passes all calls to another one; subclasses override some. */
abstract class FilterSessionInput implements SessionInputBuffer {
    private final SessionInputBuffer delegate;

    FilterSessionInput(SessionInputBuffer delegate) {
        this.delegate = delegate;
    }

    @Override
    public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
        return delegate.readLine(line, in);
    }

    @Override
    public int length() {
        return delegate.length();
    }

    @Override
    public int capacity() {
        return delegate.capacity();
    }

    @Override
    public int available() {
        return delegate.available();
    }

    @Override
    public int read(byte[] target, int offset, int length, InputStream in) throws IOException {
        return delegate.read(target, offset, length, in);
    }

    @Override
    public int read(byte[] target, InputStream in) throws IOException {
        return delegate.read(target, in);
    }

    @Override
    public int read(InputStream in) throws IOException {
        return delegate.read(in);
    }

    @Override
    public HttpTransportMetrics getMetrics() {
        return delegate.getMetrics();
    }
}
