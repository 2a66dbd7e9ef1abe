package org.skylarkmast.daemon.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

class SettingsReaderTest {
    private static final String MINIMAL_SETTINGS =
            """
            {
              // only the fields without a default
              "node": {"name": "entry-1"},
              "failureDomain": "bkk-1",
              "addresses": {
                "callers": "0.0.0.0:8080",
                "peers": "10.0.0.1:8081",
                "administration": "10.0.0.1:8082"
              },
              "store": {"endpoints": ["10.0.0.9:2379"]}
            }
            """;

    @TempDir private Path folder;

    @Test
    void appliesDefaults() throws IOException {
        Path file = Files.writeString(folder.resolve("s.json"), MINIMAL_SETTINGS);
        Settings settings = ((SettingsOutcome.Valid) SettingsReader.read(file)).settings();
        assertThat(settings.node().name()).isEqualTo("entry-1");
        assertThat(settings.peerAddress()).isEqualTo("10.0.0.1:8081");
        assertThat(settings.weight()).isEqualTo(1.0);
        assertThat(settings.dataFolder()).isEmpty();
        assertThat(settings.hostList()).isEmpty();
        assertThat(settings.store().leaseTtlMs()).isEqualTo(6_000);
        assertThat(settings.administration().operatorKeySha256()).isEmpty();
        assertThat(settings.telemetry().logLevel()).isEqualTo("info");
        assertThat(settings.telemetry().otlpEndpoint()).isEmpty();
    }

    @ParameterizedTest(name = "{2}")
    @CsvFileSource(resources = "bad-settings.csv", delimiter = '|', quoteCharacter = '`')
    void reportsPathAndExpectedValue(String original, String replacement, String expected) {
        List<SettingsProblem> problems = problems(MINIMAL_SETTINGS.replace(original, replacement));
        assertThat(problems).hasSize(1);
        assertThat(problems.getFirst().toString()).contains(expected);
    }

    @Test
    void reportsAllProblemsAtOnce() {
        List<SettingsProblem> problems =
                problems("{\"weight\": 0, \"wait\": 1, \"timing\": {\"claimGraceMs\": \"a\"}}");
        assertThat(problems.stream().map(SettingsProblem::path).toList())
                .containsExactly(
                        "node",
                        "failureDomain",
                        "addresses",
                        "store",
                        "weight",
                        "wait",
                        "timing.claimGraceMs");
    }

    @Test
    void readsTheExampleSettings() {
        assertThat(SettingsReader.read(Path.of("..", "examples", "entry-host.json")))
                .isInstanceOf(SettingsOutcome.Valid.class);
    }

    @Test
    void reportsAMissingFile() {
        SettingsOutcome outcome = SettingsReader.read(folder.resolve("none.json"));
        assertThat(((SettingsOutcome.Invalid) outcome).problems().getFirst().toString())
                .contains("found none");
    }

    private static List<SettingsProblem> problems(String text) {
        return ((SettingsOutcome.Invalid) SettingsReader.parse(text)).problems();
    }
}
