package org.skylarkmast.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * Input of a connection that lets other virtual threads run before each read.
 *
 * <p>A virtual thread that never blocks is not preempted. Without this, peers that send faster than
 * their bodies are parsed, as in chunks of one byte, keep all other connections from being served
 * until their input is used up.
 */
public final class FairInput extends FilterInputStream {

    public FairInput(InputStream in) {
        super(in);
    }

    @Override
    public int read() throws IOException {
        yieldToOthers();
        return super.read();
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
        yieldToOthers();
        return super.read(target, offset, length);
    }

    // Fairness, not correctness, depends on the scheduler, which queues virtual threads in order.
    @SuppressWarnings("ThreadPriorityCheck")
    private static void yieldToOthers() {
        Thread.yield();
    }
}
