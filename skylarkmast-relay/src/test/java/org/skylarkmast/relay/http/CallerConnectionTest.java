package org.skylarkmast.relay.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CallerConnectionTest {
    private static final int MAX_HEAD_BYTES = 1000;
    private static final long MAX_BODY_BYTES = 100;

    private static Socket[] connectedSockets() throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Socket caller = new Socket(listener.getInetAddress(), listener.getLocalPort());
            return new Socket[] {caller, listener.accept()};
        }
    }

    private static CallerConnection connectionReceiving(String raw) throws IOException {
        Socket[] sockets = connectedSockets();
        sockets[0].getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
        sockets[0].shutdownOutput();
        return new CallerConnection(sockets[1], () -> MAX_HEAD_BYTES);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            value = {
                "both fields|GET / HTTP/1.1~Host: a~Content-Length: 3~Transfer-Encoding: chunked~~",
                "two lengths|POST / HTTP/1.1~Host: a~Content-Length: 3~Content-Length: 3~~abc",
                "signed length|POST / HTTP/1.1~Host: a~Content-Length: +3~~abc",
                "length with a blank|POST / HTTP/1.1~Host: a~Content-Length: 3 3~~abc",
                "other encoding|POST / HTTP/1.1~Host: a~Transfer-Encoding: gzip, chunked~~",
                "repeated|GET / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Transfer-Encoding: x~~",
                "bare line feed|GET / HTTP/1.1^Host: a~~",
                "bare line feed in a field|GET / HTTP/1.1~Host: a~X: 1^Y: 2~~",
                "folded line|GET / HTTP/1.1~Host: a~X: 1~ more~~",
                "space before the colon|POST / HTTP/1.1~Host: a~Content-Length : 3~~abc",
                "control character|GET / HTTP/1.1~Host: a~X: a\u0001b~~",
                "invalid field name|GET / HTTP/1.1~Host: a~X(y): 1~~",
                "no host|GET / HTTP/1.1~X: 1~~",
                "two hosts|GET / HTTP/1.1~Host: a~Host: b~~",
                "absolute target|GET http://a/ HTTP/1.1~Host: a~~",
                "no version|GET /~Host: a~~",
            })
    void rejectsAmbiguousOrInvalidHead(String name, String raw) throws IOException {
        CallerConnection connection =
                connectionReceiving(raw.replace("~", "\r\n").replace("^", "\n"));
        assertThrows(MalformedMessageException.class, connection::readHead);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            value = {
                "length|POST /p HTTP/1.1~Host: a~Content-Length: 3~~abc|abc",
                "chunks|POST /p HTTP/1.1~Host: a~Transfer-Encoding: chunked~~2~ab~1~c~0~~|abc",
                "no body|POST /p HTTP/1.1~Host: a~~|''",
            })
    void readsBody(String name, String raw, String body) throws IOException {
        CallerConnection connection = connectionReceiving(raw.replace("~", "\r\n"));
        InboundRequest request = connection.readHead();
        byte[] read = connection.readBody(request, MAX_BODY_BYTES);
        assertThat(new String(read, StandardCharsets.US_ASCII)).isEqualTo(body);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            value = {
                "no size|POST /p HTTP/1.1~Host: a~Transfer-Encoding: chunked~~x~ab~0~~",
                "bare line feeds|POST /p HTTP/1.1~Host: a~Transfer-Encoding: chunked~~2^ab^0^^",
            })
    void rejectsMalformedChunks(String name, String raw) throws IOException {
        CallerConnection connection =
                connectionReceiving(raw.replace("~", "\r\n").replace("^", "\n"));
        InboundRequest request = connection.readHead();
        assertThrows(
                MalformedMessageException.class,
                () -> connection.readBody(request, MAX_BODY_BYTES));
    }

    // Guards against a head, or trailers, taken for whole though the caller closed inside them.
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            value = {
                "no body|POST /p HTTP/1.1~Host: a~X: 1~~",
                "length|POST /p HTTP/1.1~Host: a~Content-Length: 3~~abc",
                "chunks|POST /p HTTP/1.1~Host: a~Transfer-Encoding: chunked~~2~ab~0~~",
                "trailers|POST /p HTTP/1.1~Host: a~Transfer-Encoding: chunked~~2~ab~0~T: t~U: u~~",
            })
    void requestThatWasCutIsNotRead(String name, String raw) throws IOException {
        String request = raw.replace("~", "\r\n");
        for (int length = 0; length < request.length(); length++) {
            CallerConnection connection = connectionReceiving(request.substring(0, length));
            assertThrows(
                    IOException.class,
                    () -> connection.readBody(connection.readHead(), MAX_BODY_BYTES),
                    "cut after " + length + " bytes");
            connection.close();
        }
    }

    @Test
    void rejectsHeadAboveTheLimit() throws IOException {
        CallerConnection connection =
                connectionReceiving(
                        "GET / HTTP/1.1\r\nHost: a\r\nX: "
                                + "x".repeat(MAX_HEAD_BYTES)
                                + "\r\n\r\n");
        assertThrows(HeadTooLargeException.class, connection::readHead);
    }

    @ParameterizedTest
    @CsvSource({
        "POST / HTTP/1.1~Host: a~Content-Length: 101~~",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~65~",
    })
    void returnsNullForBodyAboveTheLimit(String raw) throws IOException {
        CallerConnection connection =
                connectionReceiving(raw.replace("~", "\r\n") + "x".repeat(101) + "\r\n0\r\n");
        InboundRequest request = connection.readHead();
        assertThat(connection.readBody(request, MAX_BODY_BYTES)).isNull();
    }

    @Test
    void detectsDisconnectWhileRequestIsProcessed() throws Exception {
        Socket[] sockets = connectedSockets();
        CallerConnection connection = new CallerConnection(sockets[1], () -> MAX_HEAD_BYTES);
        sockets[0]
                .getOutputStream()
                .write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        connection.readHead();
        CountDownLatch disconnected = new CountDownLatch(1);
        connection.detectDisconnect(disconnected::countDown);
        sockets[0].close();
        assertThat(disconnected.await(10, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void readAheadBytesBelongToTheNextRequest() throws Exception {
        Socket[] sockets = connectedSockets();
        CallerConnection connection = new CallerConnection(sockets[1], () -> MAX_HEAD_BYTES);
        byte[] request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        sockets[0].getOutputStream().write(request);
        connection.readHead();
        connection.detectDisconnect(() -> {});
        sockets[0].getOutputStream().write(request);
        assertThat(connection.awaitRequest()).isTrue();
        assertThat(connection.readHead().path()).isEqualTo("/x");
    }
}
