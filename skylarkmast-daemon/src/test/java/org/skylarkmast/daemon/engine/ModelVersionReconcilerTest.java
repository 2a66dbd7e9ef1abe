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

class ModelVersionReconcilerTest {
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
    void loadsTheDeclaredVersion(boolean checksEpoch) throws IOException {
        engine = startEngine(checksEpoch);
        reconciler(OptionalLong.of(3)).reconcile(declaring("v2"));
        assertThat(loadedModel()).contains("\"version\":\"v2\"");
    }

    @Test
    void sendsNoOrderIfAnotherNodeOwnsTheTarget() throws IOException {
        engine = startEngine(true);
        reconciler(OptionalLong.empty()).reconcile(declaring("v2"));
        assertThat(loadedModel()).contains("\"version\":\"v1\"");
    }

    @Test
    void aFormerOwnersOrderIsRefusedWhereEpochsAreChecked() throws IOException {
        engine = startEngine(true);
        reconciler(OptionalLong.of(4)).reconcile(declaring("v2"));
        ModelVersionReconciler former = reconciler(OptionalLong.of(3));
        former.reconcile(declaring("v1"));
        former.reconcile(declaring("v1"));
        assertThat(loadedModel()).contains("\"version\":\"v2\"");
    }

    @Test
    void aFormerOwnersOrderIsCorrectedWhereEpochsAreIgnored() throws IOException {
        engine = startEngine(false);
        ModelVersionReconciler owner = reconciler(OptionalLong.of(4));
        owner.reconcile(declaring("v2"));
        reconciler(OptionalLong.of(3)).reconcile(declaring("v1"));
        assertThat(loadedModel()).contains("\"version\":\"v1\"");
        owner.reconcile(declaring("v2"));
        assertThat(loadedModel()).contains("\"version\":\"v2\"");
    }

    private ModelVersionReconciler reconciler(OptionalLong epoch) {
        return new ModelVersionReconciler(client, TIMEOUT_MS, target -> epoch);
    }

    private Configuration declaring(String version) {
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

    private String loadedModel() {
        HttpOutcome outcome = client.send(ClientRequest.get(address(), "/orders", TIMEOUT_MS));
        return ((HttpOutcome.Answered) outcome).text().replace(" ", "");
    }

    private String address() {
        return "127.0.0.1:" + engine.port();
    }

    private static EngineStandIn startEngine(boolean checksEpoch) throws IOException {
        return EngineStandIn.start(
                0,
                new EngineOptions(
                        "e1", "m", "v1", 1_000, 100, 10_000, 4, 10, checksEpoch, Optional.empty()));
    }
}
