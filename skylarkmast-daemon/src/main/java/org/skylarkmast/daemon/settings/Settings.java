package org.skylarkmast.daemon.settings;

import java.util.List;
import java.util.Optional;

/**
 * Settings of one process, with defaults applied.
 *
 * @param weight capacity of this host relative to others, above 0
 * @param advertisedPeerAddress address at which peers reach this node, if it differs from {@link
 *     Addresses#peers}
 * @param dataFolder folder for persistent files; empty on a host without a disk for them
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

    /** The address announced to peers: the advertised one, or else the listen address. */
    public String peerAddress() {
        return advertisedPeerAddress.orElse(addresses.peers());
    }

    /**
     * Identity of this process.
     *
     * @param name unique name of the node; each start is another incarnation of it
     */
    public record Node(String name) {}

    /**
     * Addresses to listen on, each {@code ip:port}; port 0 selects a free port.
     *
     * @param callers HTTP for callers
     * @param peers gRPC between the daemons
     * @param administration HTTP for operators, health checks and metrics
     */
    public record Addresses(String callers, String peers, String administration) {}

    /**
     * The platform's key-value service.
     *
     * @param endpoints addresses; the first that is reachable is used
     * @param callTimeoutMs time after which a call without an answer has failed
     * @param leaseTtlMs time to live of this node's lease; a longer one delays fail-over
     * @param writesPerSecondShare this node's share, in writes per second, of the service's write
     *     limit
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
     * Access control for operators.
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
     * @param maxBodyBytes maximum size of a caller's request body
     * @param drainGraceMs maximum time that a draining process waits for requests in flight
     * @param drainDelayMs time between reporting not ready and refusing connections, so that the
     *     load balancer can detect the change
     */
    public record Limits(int maxBodyBytes, long drainGraceMs, long drainDelayMs) {}

    /**
     * Traces and logs.
     *
     * @param traceFile file that spans are appended to as JSON lines
     * @param otlpEndpoint URL of a collector that accepts OTLP over gRPC
     * @param logLevel one of error, warn, info, debug and trace
     */
    public record Telemetry(
            Optional<String> traceFile, Optional<String> otlpEndpoint, String logLevel) {}

    /**
     * Timing of the protocols between nodes.
     *
     * @param heartbeatIntervalMs time between two heartbeats to a peer
     * @param suspectAfterMs time without an answer after which no new request is forwarded to a
     *     peer
     * @param claimGraceMs delay after the end of an owner's session before its partitions are
     *     claimed
     */
    public record Timing(long heartbeatIntervalMs, long suspectAfterMs, long claimGraceMs) {}
}
