package org.skylarkmast.daemon.settings;

import java.util.List;
import java.util.Optional;

/**
 * Settings of one process, defaults filled in.
 *
 * @param weight size of this host relative to others, above 0
 * @param advertisedPeerAddress where peers reach this node, if not at {@link Addresses#peers}
 * @param dataFolder folder for bulk data; empty on a host without a disk for it
 * @param hostList the platform's list of live and leaving hosts, if there is one
 */
public record Settings(
        Node node,
        String failureDomain,
        double weight,
        Addresses addresses,
        Optional<String> advertisedPeerAddress,
        Optional<String> dataFolder,
        Store store,
        Optional<HostList> hostList,
        Administration administration,
        Limits limits,
        Telemetry telemetry,
        Timing timing) {

    /** The address that peers are told: the advertised one, or the one listened on. */
    public String peerAddress() {
        return advertisedPeerAddress.orElse(addresses.peers());
    }

    /**
     * Who this process is.
     *
     * @param name unique name of the node; each start is another incarnation of it
     */
    public record Node(String name) {}

    /**
     * Addresses to listen on, each {@code ip:port}; port 0 asks for a free one.
     *
     * @param callers HTTP for callers
     * @param peers gRPC between the daemons
     * @param administration HTTP for operators, health checks and metrics
     */
    public record Addresses(String callers, String peers, String administration) {}

    /**
     * The platform's key-value service.
     *
     * @param endpoints addresses, tried in turn
     * @param callTimeoutMs time after which a call's answer counts as lost
     * @param leaseTtlMs life of this node's lease without a renewal; longer delays take-over
     * @param writesPerSecondShare writes a second that this node may use of the service's limit
     */
    public record Store(
            List<String> endpoints,
            long callTimeoutMs,
            long leaseTtlMs,
            double writesPerSecondShare) {

        public Store {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * The platform's host list.
     *
     * @param address {@code ip:port} of its HTTP server
     */
    public record HostList(String address) {}

    /**
     * Access of operators.
     *
     * @param operatorKeySha256 lower-case hex SHA-256 digests of the bearer keys; without any, only
     *     health checks and metrics are answered
     */
    public record Administration(List<String> operatorKeySha256) {

        public Administration {
            operatorKeySha256 = List.copyOf(operatorKeySha256);
        }
    }

    /**
     * Limits of this process.
     *
     * @param maxBodyBytes largest body taken from a caller
     * @param drainGraceMs longest time that a leaving process waits for requests under way
     * @param drainDelayMs time between reporting not ready and refusing connections, which gives
     *     the balancer time to notice
     */
    public record Limits(int maxBodyBytes, long drainGraceMs, long drainDelayMs) {}

    /**
     * Traces and logs.
     *
     * @param traceFile file that spans are appended to as JSON lines
     * @param otlpEndpoint URL of a collector that takes OTLP over gRPC
     * @param logLevel one of error, warn, info, debug and trace
     */
    public record Telemetry(
            Optional<String> traceFile, Optional<String> otlpEndpoint, String logLevel) {}

    /**
     * Times of the protocols between nodes.
     *
     * @param heartbeatIntervalMs time between two heartbeats to a peer
     * @param suspectAfterMs silence after which nothing new is forwarded to a peer
     * @param claimGraceMs time to leave an owner whose session lapsed before claiming from it
     */
    public record Timing(long heartbeatIntervalMs, long suspectAfterMs, long claimGraceMs) {}
}
