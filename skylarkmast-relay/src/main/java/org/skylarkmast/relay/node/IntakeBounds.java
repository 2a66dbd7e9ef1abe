package org.skylarkmast.relay.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.skylarkmast.http.IntakeLimits;

/**
 * Bounds on what a node holds for those that connect to it, by port. Together they leave more than
 * a third of the heap, and of the descriptors, to runners, other nodes and the key-value service.
 * The heap must not fill: a virtual thread that cannot be unmounted for lack of memory keeps its
 * carrier thread while it waits, and once all carriers wait for a lock whose holder is unmounted,
 * the process hangs.
 *
 * @param callers of the port for callers
 * @param peers of the port for other entry nodes
 * @param readiness of the readiness endpoint
 * @param metrics of the metrics endpoint
 * @param storage of a storage node's port for other nodes
 */
record IntakeBounds(
        IntakeLimits callers,
        IntakeLimits peers,
        IntakeLimits readiness,
        IntakeLimits metrics,
        IntakeLimits storage) {

    /**
     * Memory of an idle connection: buffer, socket and the stack of its virtual thread. 1,000
     * silent connections took 8.8 MB of the heap.
     */
    private static final long CONNECTION_BYTES = 9216;

    /** Part of the heap for the requests of callers, and for those of other nodes. */
    private static final double CALLER_BYTES_PART = 0.25;

    private static final double PEER_BYTES_PART = 0.12;

    /** Above the largest body of 16 MB of a call between nodes with the usual heap of 56 MB. */
    private static final double STORAGE_BYTES_PART = 0.35;

    /** Part of the heap for idle connections. */
    private static final double CONNECTIONS_PART = 0.2;

    private static final double PEER_CONNECTIONS_PART = 0.05;

    /** Descriptors that callers may use; each request in service uses one for its runner too. */
    private static final double CALLER_DESCRIPTORS_PART = 0.375;

    private static final double PEER_DESCRIPTORS_PART = 0.125;
    private static final double STORAGE_DESCRIPTORS_PART = 0.75;

    /** Connections of an endpoint that answers at once and is asked every second or so. */
    private static final int CHECK_CONNECTIONS = 16;

    private static final long CHECK_BYTES = 1 << 20;
    private static final long CHECK_SERVING_MS = 1000;

    /** Longer than all calls between nodes; they give up after a few seconds at most. */
    private static final long STORAGE_SERVING_MS = 10_000;

    private static final int MIN_CONNECTIONS = 16;

    /** Descriptors of a process whose limit is not known; the usual limit of a Linux process. */
    private static final int DEFAULT_DESCRIPTORS = 1024;

    private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");

    /** Returns the bounds of this process, by the settings and the size of its heap. */
    static IntakeBounds of(HostLimits host) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        if (host.memoryMb() > 0) {
            heapBytes = Math.min(heapBytes, (long) host.memoryMb() << 19);
        }
        int processDescriptors = processDescriptors();
        int descriptors = host.maxDescriptors() > 0 ? host.maxDescriptors() : processDescriptors;
        return of(heapBytes, Math.min(descriptors, processDescriptors));
    }

    /**
     * Returns the bounds for a process.
     *
     * @param heapBytes memory for objects
     * @param maxDescriptors open file descriptors that the process may have
     */
    static IntakeBounds of(long heapBytes, int maxDescriptors) {
        double connectionsByMemory = (double) heapBytes / CONNECTION_BYTES;
        IntakeLimits checks = new IntakeLimits(CHECK_BYTES, CHECK_CONNECTIONS, CHECK_SERVING_MS);
        return new IntakeBounds(
                new IntakeLimits(
                        (long) (heapBytes * CALLER_BYTES_PART),
                        connections(
                                connectionsByMemory * CONNECTIONS_PART,
                                maxDescriptors * CALLER_DESCRIPTORS_PART),
                        0),
                new IntakeLimits(
                        (long) (heapBytes * PEER_BYTES_PART),
                        connections(
                                connectionsByMemory * PEER_CONNECTIONS_PART,
                                maxDescriptors * PEER_DESCRIPTORS_PART),
                        0),
                checks,
                checks,
                new IntakeLimits(
                        (long) (heapBytes * STORAGE_BYTES_PART),
                        connections(
                                connectionsByMemory * CONNECTIONS_PART,
                                maxDescriptors * STORAGE_DESCRIPTORS_PART),
                        STORAGE_SERVING_MS));
    }

    private static int connections(double byMemory, double byDescriptors) {
        return (int) Math.max(MIN_CONNECTIONS, Math.min(byMemory, byDescriptors));
    }

    private static int processDescriptors() {
        try {
            for (String line : Files.readAllLines(PROCESS_LIMITS)) {
                if (line.startsWith("Max open files")) {
                    String soft =
                            line.substring("Max open files".length()).strip().split(" ", -1)[0];
                    return soft.equals("unlimited") ? Integer.MAX_VALUE : Integer.parseInt(soft);
                }
            }
        } catch (IOException | NumberFormatException e) {
            // Only Linux has this file; the default is used elsewhere.
        }
        return DEFAULT_DESCRIPTORS;
    }
}
