package org.skylarkmast.bench.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Finds ports below the ephemeral range, so that no outgoing connection takes a node's port while
 * the node restarts.
 */
final class FreePorts {
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 31_000;
    private static final int PROCESS_STRIDE = 97;

    private int next;

    /**
     * @param processId process id; gives clusters that run concurrently different first ports
     */
    FreePorts(long processId) {
        int range = LAST_PORT - FIRST_PORT;
        this.next = FIRST_PORT + (int) (processId * PROCESS_STRIDE % range);
    }

    /** Returns a port on which no process listens and that was not returned before. */
    int next() throws IOException {
        for (int tries = 0; tries < LAST_PORT - FIRST_PORT; tries++) {
            next = next >= LAST_PORT ? FIRST_PORT : next + 1;
            if (isFree(next)) {
                return next;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + LAST_PORT);
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
