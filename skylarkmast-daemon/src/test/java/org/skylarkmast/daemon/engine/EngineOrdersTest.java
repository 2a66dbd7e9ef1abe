package org.skylarkmast.daemon.engine;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Model;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import org.skylarkmast.standins.engine.EngineOptions;
import org.skylarkmast.standins.engine.EngineStandIn;

class EngineOrdersTest {
    private static final long TIMEOUT_MS = 30_000;

    private final HttpClient client = new HttpClient(4, 5_000);
    private EngineStandIn engine;

    @AfterEach
    void stop() {
        client.close();
        engine.close();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void bringsAnEngineToTheDeclaredVersion(boolean checksEpoch) throws IOException {
        engine = engine(checksEpoch);
        orders(OptionalLong.of(3)).review(declared("v2"));
        assertThat(state()).contains("\"version\":\"v2\"");
    }

    @Test
    void leavesOrdersToTheOwnerOfTheTarget() throws IOException {
        engine = engine(true);
        orders(OptionalLong.empty()).review(declared("v2"));
        assertThat(state()).contains("\"version\":\"v1\"");
    }

    @Test
    void aFormerOwnersOrderIsRefusedWhereEpochsAreChecked() throws IOException {
        engine = engine(true);
        orders(OptionalLong.of(4)).review(declared("v2"));
        EngineOrders former = orders(OptionalLong.of(3));
        former.review(declared("v1"));
        former.review(declared("v1"));
        assertThat(state()).contains("\"version\":\"v2\"");
    }

    @Test
    void aFormerOwnersOrderIsCorrectedWhereEpochsAreIgnored() throws IOException {
        engine = engine(false);
        EngineOrders owner = orders(OptionalLong.of(4));
        owner.review(declared("v2"));
        orders(OptionalLong.of(3)).review(declared("v1"));
        assertThat(state()).contains("\"version\":\"v1\"");
        owner.review(declared("v2"));
        assertThat(state()).contains("\"version\":\"v2\"");
    }

    private EngineOrders orders(OptionalLong epoch) {
        return new EngineOrders(client, TIMEOUT_MS, target -> epoch);
    }

    private Configuration declared(String version) {
        Target target =
                new Target(
                        "engines",
                        Target.Kind.MODEL_ENGINE,
                        List.of("m"),
                        List.of(new Target.Runner("e1", address(), "a", 4)),
                        List.of(),
                        true,
                        false);
        return new Configuration(
                1,
                Map.of(),
                Map.of(),
                Map.of("engines", target),
                Map.of("m", new Model("m", version, 1_000, 100)),
                Map.of(),
                Map.of());
    }

    private String state() {
        HttpOutcome outcome = client.send(ClientRequest.get(address(), "/orders", TIMEOUT_MS));
        return ((HttpOutcome.Answered) outcome).text().replace(" ", "");
    }

    private String address() {
        return "127.0.0.1:" + engine.port();
    }

    private static EngineStandIn engine(boolean checksEpoch) throws IOException {
        return EngineStandIn.start(
                0,
                new EngineOptions(
                        "e1", "m", "v1", 1_000, 100, 10_000, 4, 10, checksEpoch, Optional.empty()));
    }
}
