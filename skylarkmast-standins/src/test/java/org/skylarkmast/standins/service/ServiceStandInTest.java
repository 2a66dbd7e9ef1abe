package org.skylarkmast.standins.service;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.skylarkmast.http.HttpOutcome;
import org.skylarkmast.standins.StandInCalls;

class ServiceStandInTest {
    @TempDir Path folder;

    private Path record;
    private ServiceStandIn service;
    private StandInCalls calls;

    @BeforeEach
    void start() throws IOException {
        record = folder.resolve("record");
        service =
                ServiceStandIn.start(
                        0, new ServiceOptions("s1", 0, 2, true, true, Optional.of(record)));
        calls = new StandInCalls(service.port());
    }

    @AfterEach
    void stop() {
        calls.close();
        service.close();
    }

    @Test
    void recordsEachExecutionEvenOfRepeatedKey() throws IOException {
        assertThat(status(postOrder("k1", 3))).isEqualTo(201);
        assertThat(status(postOrder("k1", 3))).isEqualTo(201);
        assertThat(Files.readAllLines(record)).hasSize(2);
        assertThat(Files.readAllLines(record).getFirst())
                .startsWith(
                        "{\"runner\":\"s1\",\"key\":\"k1\",\"program\":\"ws:p\","
                                + "\"method\":\"POST\",\"path\":\"/orders\",\"epoch\":3,\"atMs\":");
    }

    @Test
    void dropsAnswerOfCallThatRan() throws IOException {
        service.setFaults(new ServiceFaults(0, false, false, 1));
        assertThat(postOrder("k1", 1)).isInstanceOf(HttpOutcome.Broken.class);
        assertThat(Files.readAllLines(record)).hasSize(1);
        assertThat(calls.answered("GET", "/calls/k1", "").text()).contains("\"status\":201");
        assertThat(calls.answered("GET", "/calls/k2", "").status()).isEqualTo(404);
    }

    @Test
    void rejectsCallsWithoutRunningThem() throws IOException {
        assertThat(status(postOrder("k1", 3))).isEqualTo(201);
        assertThat(status(postOrder("k2", 2))).isEqualTo(409);
        calls.answered("POST", "/faults", "{\"refuse\":true}");
        HttpOutcome rejected = postOrder("k3", 3);
        assertThat(status(rejected)).isEqualTo(503);
        assertThat(((HttpOutcome.Answered) rejected).header("retry-after")).isPresent();
        assertThat(Files.readAllLines(record)).hasSize(1);
    }

    private HttpOutcome postOrder(String key, int epoch) {
        Map<String, String> headers =
                Map.of(
                        "Idempotency-Key",
                        key,
                        "Skylarkmast-Program",
                        "ws:p",
                        "Skylarkmast-Epoch",
                        Integer.toString(epoch));
        return calls.send("POST", "/orders", "{\"part\":1}", headers);
    }

    private static int status(HttpOutcome outcome) {
        return ((HttpOutcome.Answered) outcome).status();
    }
}
