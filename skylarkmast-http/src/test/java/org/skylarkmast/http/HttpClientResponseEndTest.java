package org.skylarkmast.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests whole responses after which the connection ends, and heads that run on into another. */
class HttpClientResponseEndTest {

    static Stream<Arguments> wholeResponses() {
        String ok = "HTTP/1.1 200 OK\r\n";
        String interim = "HTTP/1.1 103 x\r\nA: b\r\n\r\n";
        return Stream.of(
                Arguments.of("length", "GET", ok + "Content-Length: 2\r\n\r\nhi", "hi"),
                Arguments.of("length 0", "GET", ok + "Content-Length: 0\r\n\r\n", ""),
                Arguments.of("1.0", "GET", "HTTP/1.0 200 OK\r\n\r\nhi", "hi"),
                Arguments.of("no length", "GET", ok + "\r\nhi", "hi"),
                Arguments.of("no length, empty", "GET", ok + "\r\n", ""),
                Arguments.of("bare line feeds", "GET", "HTTP/1.1 200 OK\nA: b\n\nhi", "hi"),
                Arguments.of("204", "GET", "HTTP/1.1 204 x\r\n\r\n", ""),
                Arguments.of("304", "GET", "HTTP/1.1 304 x\r\nContent-Length: 9\r\n\r\n", ""),
                Arguments.of("HEAD", "HEAD", ok + "Content-Length: 9\r\n\r\n", ""),
                Arguments.of("interim", "GET", interim + interim + ok + "\r\nhi", "hi"),
                Arguments.of(
                        "long line", "GET", ok + "A: " + "b".repeat(20_000) + "\r\n\r\nhi", "hi"),
                Arguments.of("empty lines", "GET", "\r\n\r\n" + ok + "\r\nhi", "hi"),
                Arguments.of(
                        "trailers",
                        "GET",
                        ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nT: t\r\n\r\n",
                        "hi"),
                Arguments.of(
                        "long trailer",
                        "GET",
                        ok
                                + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nT: "
                                + "b".repeat(8_189)
                                + "\r\n\r\n",
                        "hi"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("wholeResponses")
    void wholeResponseBeforeTheEndOfTheConnectionIsAnAnswer(
            String name, String method, String raw, String body) throws IOException {
        HttpOutcome outcome = RawResponses.outcome(method, raw, false);
        assertThat(outcome).isInstanceOf(HttpOutcome.Answered.class);
        assertThat(new String(((HttpOutcome.Answered) outcome).body(), StandardCharsets.US_ASCII))
                .isEqualTo(body);
    }

    static Stream<Arguments> headsThatRunOn() {
        String failure = "HTTP/1.1 500 x\r\nContent-Length: 5\r\n\r\nfail\n";
        return Stream.of(false, true)
                .flatMap(
                        stream ->
                                Stream.of("A: b", "HTTP/1.1 20", "A", "A: b\r\nConten", "")
                                        .map(
                                                cut ->
                                                        Arguments.of(
                                                                cut,
                                                                (cut.startsWith("HTTP")
                                                                                ? cut
                                                                                : "HTTP/1.1 200 OK"
                                                                                        + "\r\n"
                                                                                        + cut)
                                                                        + failure,
                                                                stream)));
    }

    @ParameterizedTest(name = "{0}, stream: {2}")
    @MethodSource("headsThatRunOn")
    void headThatRunsOnIntoAnotherIsNoAnswer(String cut, String raw, boolean stream)
            throws IOException {
        assertThat(RawResponses.outcome("GET", raw, stream)).isInstanceOf(HttpOutcome.Broken.class);
    }
}
