package org.skylarkmast.core.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ObjectParserTest {

    @Test
    void parsesWrittenObjects() {
        List<ConfigurationObject> objects =
                SampleObjects.configuration(1, SampleObjects.VALID_SET).objects();
        String written = ObjectWriter.toJson(objects).toString();
        assertThat(SampleObjects.declared(written).stream().map(DeclaredObject::object).toList())
                .isEqualTo(objects);
    }

    @ParameterizedTest(name = "{1}")
    @CsvFileSource(resources = "bad-objects.csv", delimiter = '|', quoteCharacter = '`')
    void reportsPathAndExpectedValue(String object, String expected) {
        List<Problem> problems = problems("[" + object + "]");
        assertThat(problems).hasSize(1);
        assertThat(problems.getFirst().toString()).startsWith("bad.json[0]: ");
        assertThat(problems.getFirst().toString()).contains(expected);
    }

    @Test
    void listsAllProblemsOfAllObjects() {
        String first = "{\"kind\":\"priority\",\"name\":\"x\",\"level\":\"a\",\"maxWait\":1}";
        String second = "{\"kind\":\"budget\",\"name\":\"\",\"tokens\":-1,\"serviceCalls\":-1}";
        List<Problem> problems = problems("[" + first + "," + second + "]");
        assertThat(problems.stream().map(p -> p.index() + p.path()).toList())
                .containsExactly(
                        "0level", "0maxWaitMs", "0maxWait", "1name", "1tokens", "1serviceCalls");
    }

    @ParameterizedTest
    @ValueSource(strings = {"[\n{\"kind\":}]", "[\n{\"kind\":\"a\",\"kind\":\"b\"}]", "[]\n x", ""})
    void rejectsTextThatIsNotASingleJsonValue(String text) {
        assertThat(problems(text).getFirst().message()).contains("not JSON");
    }

    @Test
    void reportsTheLineOfASyntaxError() {
        assertThat(problems("[\n\n{\"kind\":}]").getFirst().message()).startsWith("line 3: ");
    }

    @ParameterizedTest
    @CsvSource({
        "1.2.3.4:80, true", "1.2.3.4, false", "1.2.3.256:80, false", "1.2.3.4:0, false",
        "1.2.3.4:65536, false", "[::1]:80, true", "[::]:80, true", "[1:2:3:4:5:6:7:8]:9, true",
        "[1::2::3]:9, false", "[1:2]:9, false", "::1:80, false", "localhost:80, false"
    })
    void recognizesValidAddresses(String text, boolean valid) {
        assertThat(FieldFormats.isAddress(text)).isEqualTo(valid);
    }

    private static List<Problem> problems(String text) {
        return ((ParseOutcome.Rejected) ObjectParser.parse("bad.json", text)).problems();
    }
}
