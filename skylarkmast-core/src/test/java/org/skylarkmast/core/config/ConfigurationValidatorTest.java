package org.skylarkmast.core.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

class ConfigurationValidatorTest {

    @ParameterizedTest(name = "{2}")
    @CsvFileSource(resources = "bad-sets.csv", delimiter = '|', quoteCharacter = '`')
    void rejectsInconsistentSets(String original, String replacement, String expected) {
        List<Problem> problems = problems(SampleObjects.VALID_SET.replace(original, replacement));
        assertThat(problems.stream().filter(p -> p.toString().contains(expected)).toList())
                .isNotEmpty();
    }

    @Test
    void rejectsAKeyOfTwoWorkspaces() {
        String other =
                "[{\"kind\":\"workspace\",\"name\":\"lima\",\"keySha256\":[\"%s\"]},"
                        .formatted(SampleObjects.DIGEST);
        List<Problem> problems = problems(SampleObjects.VALID_SET.replaceFirst("\\[", other));
        assertThat(problems).hasSize(1);
        assertThat(problems.getFirst().path()).isEqualTo("keySha256[0]");
    }

    @Test
    void listsAllProblems() {
        String text =
                SampleObjects.VALID_SET
                        .replace("\"budget\": \"b\"", "\"budget\": \"c\"")
                        .replace("\"priority\": \"p\"", "\"priority\": \"q\"")
                        .replace("\"j1\"", "\"e1\"");
        assertThat(problems(text)).hasSize(3);
    }

    @Test
    void reportsAddedChangedAndRemovedObjects() {
        Configuration earlier = SampleObjects.configuration(1, SampleObjects.VALID_SET);
        String model = "{\"kind\":\"model\",\"name\":\"n\",\"version\":\"v\",";
        String text =
                SampleObjects.VALID_SET
                        .replaceFirst(
                                "\\[", "[" + model + "\"contextTokens\":9,\"maxOutputTokens\":9},")
                        .replace("20000", "30000")
                        .replace("\"name\": \"p\"", "\"name\": \"q\"")
                        .replace("\"priority\": \"p\"", "\"priority\": \"q\"");
        ConfigurationDiff diff =
                ConfigurationDiff.between(earlier, SampleObjects.configuration(2, text));
        assertThat(diff.added().toString()).isEqualTo("[model/n, priority/q]");
        assertThat(diff.changed().toString()).isEqualTo("[program/intake, budget/b]");
        assertThat(diff.removed().toString()).isEqualTo("[priority/p]");
        assertThat(ConfigurationDiff.between(earlier, earlier.withRevision(9)).isEmpty()).isTrue();
    }

    private static List<Problem> problems(String text) {
        ValidationOutcome outcome =
                ConfigurationValidator.validate(1, SampleObjects.declared(text));
        return ((ValidationOutcome.Invalid) outcome).problems();
    }
}
