package org.skylarkmast.bench.cluster;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.json.JsonUtil;

/** Builds the settings file of a node. */
final class NodeSettings {
    private static final int STORE_CALL_TIMEOUT_MS = 1_000;

    private NodeSettings() {}

    /**
     * Returns the settings as JSON.
     *
     * @param storeAddress address of the key-value service
     * @param hostListAddress address of the host list
     */
    static byte[] json(
            Node node,
            ClusterShape shape,
            String storeAddress,
            String hostListAddress,
            Path dataFolder,
            Path traceFile) {
        return JsonUtil.toBytes(
                Map.of(
                        "node",
                        Map.of("name", node.name()),
                        "failureDomain",
                        node.failureDomain(),
                        "addresses",
                        Map.of(
                                "callers", node.callerAddress(),
                                "peers", node.peerAddress(),
                                "administration", node.administrationAddress()),
                        "advertisedPeerAddress",
                        node.peerAddress(),
                        "dataFolder",
                        dataFolder.toString(),
                        "store",
                        Map.of(
                                "endpoints", List.of(storeAddress),
                                "callTimeoutMs", STORE_CALL_TIMEOUT_MS,
                                "leaseTtlMs", shape.leaseTtlMs()),
                        "hostList",
                        Map.of("address", hostListAddress),
                        "administration",
                        Map.of(
                                "operatorKeySha256",
                                List.of(BearerKeys.sha256(BearerKeys.OPERATOR))),
                        "telemetry",
                        Map.of("traceFile", traceFile.toString())));
    }
}
