package org.skylarkmast.standins.store;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import org.skylarkmast.rpc.etcd.EtcdProto;
import org.skylarkmast.rpc.etcd.KVGrpc;

class EtcdStandInTest {
    private static final long TIMEOUT_MS = 20_000;
    private static final ByteString KEY = ByteString.copyFromUtf8("/a");

    private EtcdStandIn service;
    private ManagedChannel channel;
    private KVGrpc.KVBlockingStub stub;

    @BeforeEach
    void start() throws IOException {
        service = EtcdStandIn.start(0, 0);
        channel =
                NettyChannelBuilder.forAddress("127.0.0.1", service.port()).usePlaintext().build();
        stub = KVGrpc.newBlockingStub(channel);
    }

    @AfterEach
    void stop() {
        channel.shutdownNow();
        service.close();
    }

    @ParameterizedTest(name = "{0} {1} {2}: {3}")
    @CsvSource({
        "VERSION, EQUAL, 2, true",
        "VERSION, GREATER, 2, false",
        "VERSION, NOT_EQUAL, 1, true",
        "CREATE, EQUAL, 2, true",
        "CREATE, EQUAL, 3, false",
        "CREATE, GREATER, 0, true",
        "MOD, EQUAL, 3, true",
        "MOD, LESS, 3, false",
        "LEASE, EQUAL, 0, true"
    })
    void evaluatesCompareOnKeyWrittenTwice(
            EtcdProto.Compare.CompareTarget target,
            EtcdProto.Compare.CompareResult result,
            long operand,
            boolean expected) {
        put();
        put();
        EtcdProto.Compare.Builder compare =
                EtcdProto.Compare.newBuilder().setKey(KEY).setTarget(target).setResult(result);
        switch (target) {
            case VERSION -> compare.setVersion(operand);
            case CREATE -> compare.setCreateRevision(operand);
            case MOD -> compare.setModRevision(operand);
            case LEASE -> compare.setLease(operand);
            case VALUE, UNRECOGNIZED -> throw new IllegalArgumentException();
        }
        EtcdProto.TxnResponse response =
                stub.txn(EtcdProto.TxnRequest.newBuilder().addCompare(compare).build());
        assertThat(response.getSucceeded()).isEqualTo(expected);
    }

    @Test
    void servesCallCountsAndFaultsOverHttp() {
        put();
        try (HttpClient client = new HttpClient(1, 5_000)) {
            assertThat(get(client, "/counts")).contains("\"put\":1,");
            ClientRequest faults =
                    new ClientRequest(
                            "127.0.0.1:" + service.controlPort(),
                            "POST",
                            "/faults",
                            Map.of(),
                            "{\"down\":true}".getBytes(StandardCharsets.UTF_8),
                            TIMEOUT_MS,
                            true);
            assertThat(client.send(faults)).isInstanceOf(HttpOutcome.Answered.class);
            assertThat(get(client, "/faults")).contains("\"down\":true");
        }
    }

    private String get(HttpClient client, String path) {
        HttpOutcome outcome =
                client.send(
                        ClientRequest.get("127.0.0.1:" + service.controlPort(), path, TIMEOUT_MS));
        return ((HttpOutcome.Answered) outcome).text();
    }

    private void put() {
        stub.put(EtcdProto.PutRequest.newBuilder().setKey(KEY).build());
    }
}
