package org.skylarkmast.bench.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Finds ports that stay free over a node's restarts: below the range that connections draw from.
 */
final class FreePorts {
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 31_000;
    private static final int PROCESS_STRIDE = 97;

    private int next;

    /**
     * @param processId spreads the ports of clusters that run beside each other
     */
    FreePorts(long processId) {
        int range = LAST_PORT - FIRST_PORT;
        this.next = FIRST_PORT + (int) (processId * PROCESS_STRIDE % range);
    }

    /** A port that nobody listens on now and that was not returned before. */
    int next() throws IOException {
        for (int tries = 0; tries < LAST_PORT - FIRST_PORT; tries++) {
            next = next >= LAST_PORT ? FIRST_PORT : next + 1;
            if (free(next)) {
                return next;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + LAST_PORT);
    }

    private static boolean free(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
