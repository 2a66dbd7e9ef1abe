package org.skylarkmast.relay.limit;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;

class StorageNodeGrantClientTest {
    private static final int STORAGE_NODES = 4;
    private static final int RUNNERS = 400;

    private final List<HttpServer> servers = new ArrayList<>();
    private final List<AtomicInteger> calls = new ArrayList<>();
    private final List<LedgerView.Member> members = new ArrayList<>();
    private long nowNs;

    @BeforeEach
    void start() throws IOException {
        for (int i = 0; i < STORAGE_NODES; i++) {
            AtomicInteger count = new AtomicInteger();
            SendGrant grant = new SendGrant.Granted(i, 0);
            byte[] body = LedgerCodec.encode(out -> SendGrantCodec.writeGrant(out, grant));
            HttpServer server =
                    HttpServer.start(
                            "127.0.0.1",
                            0,
                            1 << 16,
                            call -> {
                                count.incrementAndGet();
                                return new HttpReply.Full(
                                        200, Map.of(), StorageNodeClient.MEDIA_TYPE, body);
                            });
            servers.add(server);
            calls.add(count);
            members.add(new LedgerView.Member("storage-" + i, "127.0.0.1:" + server.port()));
        }
    }

    @AfterEach
    void stop() {
        servers.forEach(HttpServer::close);
    }

    private StorageNodeGrantClient client() {
        LedgerView view = new LedgerView(1, members);
        return new StorageNodeGrantClient(
                () -> view, new StorageNodeClient(new HttpClient(4, 300), _ -> {}), () -> nowNs);
    }

    @Test
    void spreadsRunnersEvenlyOverStorageNodes() {
        StorageNodeGrantClient client = client();
        for (int i = 0; i < RUNNERS; i++) {
            assertThat(client.request(new SendRequest("i-" + i + "/17713768", 1, 0))).isPresent();
        }
        for (AtomicInteger count : calls) {
            assertThat(count.get()).isAtLeast(RUNNERS / STORAGE_NODES / 2);
        }
    }

    @Test
    void asksTheSameStorageNodeOnly() {
        SendRequest request = new SendRequest("i-1/17713768", 1, 0);
        Optional<SendGrant> first = client().request(request);
        assertThat(client().request(request)).isEqualTo(first);
        int asked = (int) ((SendGrant.Granted) first.orElseThrow()).waitMs();
        servers.get(asked).close();
        StorageNodeGrantClient client = client();
        assertThat(client.request(request)).isEmpty();
        assertThat(client.request(request)).isEmpty();
        assertThat(calls.stream().mapToInt(AtomicInteger::get).sum()).isEqualTo(2);
    }
}
