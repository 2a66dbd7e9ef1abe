package org.skylarkmast.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests responses with a line that HTTP does not allow, beside proper ones. */
class MalformedResponseTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED_WITH_FIELDS =
            "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n%s\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

    private static void assertBroken(String raw) throws IOException {
        for (boolean stream : new boolean[] {false, true}) {
            assertWithMessage(raw)
                    .that(RawResponses.outcome("GET", raw, stream))
                    .isInstanceOf(HttpOutcome.Broken.class);
        }
    }

    static Stream<Arguments> bytesOfNames() {
        return IntStream.concat(IntStream.rangeClosed(0, ' '), IntStream.of(127))
                .boxed()
                .flatMap(
                        value ->
                                Stream.of("%sX-Note", "X-%sNote", "X-Note%s")
                                        .map(name -> name.formatted((char) (int) value))
                                        .map(name -> Arguments.of(value, name)));
    }

    // Guards against a response with a blank or a control byte in a name, taken for an answer.
    @ParameterizedTest(name = "byte {0} in {1}")
    @MethodSource("bytesOfNames")
    void blankOrControlByteInANameIsNoAnswer(int value, String name) throws IOException {
        String field = name + ": a\r\n";
        assertBroken(OK + field + "A: b\r\nContent-Length: 2\r\n\r\nh\n");
        assertBroken(OK + "A: b\r\n" + field + "Content-Length: 2\r\n\r\nh\n");
        assertBroken(OK + "A: b\r\nContent-Length: 2\r\n" + field + "\r\nh\n");
        assertBroken(OK + name.replace("X-Note", "Content-Length") + ": 2\r\n\r\nh\n");
        assertBroken("HTTP/1.1 103 x\r\n" + field + "\r\n" + OK + "Content-Length: 2\r\n\r\nh\n");
    }

    // Guards against trailers with a blank or a control byte in a name, taken for whole.
    @ParameterizedTest(name = "byte {0} in {1}")
    @MethodSource("bytesOfNames")
    void blankOrControlByteInATrailersNameIsNoAnswer(int value, String name) throws IOException {
        assertBroken(CHUNKED + "2\r\nh\n\r\n0\r\n" + name + ": a\r\n\r\n");
    }

    private static Stream<String> responsesWithMalformedFields() {
        return Stream.of(
                        "A: b\r\n c",
                        "A: b\r\n\tc",
                        "A",
                        ": a",
                        "A(: b",
                        "A: b\0c",
                        "A: b\u007F",
                        "A: b\rc",
                        "A: b\nc")
                .map(field -> OK + field + "\r\nContent-Length: 2\r\n\r\nh\n");
    }

    private static Stream<String> responsesWithMalformedStatusLines() {
        Stream<String> lines =
                Stream.of(
                        "HTTP/1.1 20 OK",
                        "HTTP/1.1 0200 OK",
                        "HTTP/1.1 +20 OK",
                        "HTTP/1.1  200 OK",
                        "HTTP/1.1\t200 OK",
                        " HTTP/1.1 200 OK",
                        "HTTP/1.1 200 O\0K",
                        "HTTP/0.9 200 OK",
                        "HTTP/2.0 200 OK");
        Stream<String> statuses =
                IntStream.of(0, 1, 20, 99, 600, 999).mapToObj("HTTP/1.1 %03d x"::formatted);
        return Stream.concat(lines, statuses)
                .map(line -> line + "\r\nContent-Length: 2\r\n\r\nh\n");
    }

    private static Stream<String> responsesWithMalformedLengths() {
        return Stream.of(
                        "Content-Length: +2",
                        "Content-Length: -2",
                        "Content-Length: 0x2",
                        "Content-Length: 2, 2",
                        "Content-Length:",
                        "Content-Length: 2\r\nContent-Length: 2",
                        "Content-Length: 2\r\nTransfer-Encoding: chunked",
                        "Transfer-Encoding: gzip, chunked",
                        "Transfer-Encoding: chunked\r\ntransfer-encoding: chunked")
                .map(field -> OK + field + "\r\n\r\n2\r\nh\n\r\n0\r\n\r\n");
    }

    private static Stream<String> responsesWithMalformedChunks() {
        return Stream.of("+2", "-2", " 2", "2 2", "0x2", "2\0", "2;a=\0", "")
                .map(size -> CHUNKED + size + "\r\nh\n\r\n0\r\n\r\n");
    }

    static Stream<String> malformedResponses() {
        return Stream.of(
                        responsesWithMalformedFields(),
                        responsesWithMalformedStatusLines(),
                        responsesWithMalformedLengths(),
                        responsesWithMalformedChunks())
                .flatMap(responses -> responses);
    }

    // Guards against a response that HTTP does not allow, taken for an answer.
    @ParameterizedTest
    @MethodSource("malformedResponses")
    void malformedResponseIsNoAnswer(String raw) throws IOException {
        assertBroken(raw);
    }

    // Guards against a proper response that is rejected for its fields or its status line.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200\r\n%s\r\nhi",
                "HTTP/1.1 200 \r\n%s\r\nhi",
                "HTTP/1.1 200 a\tb: \u00E9\r\n%s\r\nhi",
                "HTTP/1.0 599 x\r\n%s\r\nhi",
                "HTTP/1.1 200 OK\n%s\nhi",
                "HTTP/1.1 200 OK\r\n%scontent-LENGTH:2\r\n\r\nhi",
                "HTTP/1.1 200 OK\r\nCONTENT-length: \t2 \t\r\n%s\r\nhi",
                "HTTP/1.1 100 x\r\n%1$s\r\nHTTP/1.1 200 OK\r\n%1$s\r\nhi",
                CHUNKED_WITH_FIELDS + "01 ; a=\"b\"\r\nh\r\n1;c\r\ni\r\n00\r\nx-t: a\r\nY:\r\n\r\n"
            })
    void properResponseIsAnAnswer(String raw) throws IOException {
        String name = "!#$%&'*+-.^_`|~09az";
        String value = "\"quoted, \t \\\" value\" (comment); \u00E4\u00FF";
        String lineEnd = raw.contains("\r\n") ? "\r\n" : "\n";
        String fields = name + ":" + value + lineEnd + "Empty: " + lineEnd;
        HttpOutcome outcome = RawResponses.outcome("GET", raw.formatted(fields), false);
        assertThat(outcome).isInstanceOf(HttpOutcome.Answered.class);
        HttpOutcome.Answered answered = (HttpOutcome.Answered) outcome;
        assertThat(answered.headers()).containsAtLeast(name, value, "empty", "");
        assertThat(new String(answered.body(), StandardCharsets.ISO_8859_1)).isEqualTo("hi");
    }
}
