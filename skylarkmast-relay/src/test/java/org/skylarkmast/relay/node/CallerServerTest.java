package org.skylarkmast.relay.node;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.skylarkmast.relay.http.CallerConnection;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.route.RoutingState;

class CallerServerTest {
    private static final String REQUEST =
            "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
    private static final byte[] BODY = "body".getBytes(StandardCharsets.ISO_8859_1);

    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();

    @AfterEach
    void stop() {
        timers.shutdownNow();
    }

    /** Guards against a request that is served although its connection is being closed as idle. */
    @Test
    void servesNoRequestOnConnectionThatIsBeingClosed() throws Exception {
        AtomicInteger served = new AtomicInteger();
        CountDownLatch requestSent = new CountDownLatch(1);
        CountDownLatch requestTaken = new CountDownLatch(1);
        CountDownLatch closeBegun = new CountDownLatch(1);
        RequestServer requests =
                (connection, request, body, closeAfterAnswer) -> {
                    served.incrementAndGet();
                    requestTaken.countDown();
                    return answer(connection);
                };
        try (ServerSocket listener =
                        new InterceptingListener(
                                closes -> {
                                    if (closes > 1) {
                                        requestTaken.countDown();
                                        return;
                                    }
                                    closeBegun.countDown();
                                    awaitUninterrupted(requestSent);
                                    awaitUninterrupted(requestTaken);
                                });
                CallerServer server = server(listener, requests);
                Socket caller = connect(server)) {
            awaitConnections(server, 1);
            Thread closing = Thread.ofPlatform().start(server::closeIdle);
            closeBegun.await();
            send(caller);
            requestSent.countDown();
            closing.join();
            assertThat(served.get()).isEqualTo(0);
        }
    }

    /** Guards against keeping a connection whose next request would be cut off. */
    @Test
    void closesConnectionAfterAnswerOnceIdleOnesAreClosed() throws Exception {
        CountDownLatch serving = new CountDownLatch(1);
        CountDownLatch proceed = new CountDownLatch(1);
        RequestServer requests =
                (connection, request, body, closeAfterAnswer) -> {
                    serving.countDown();
                    awaitUninterrupted(proceed);
                    return answer(connection);
                };
        try (CallerServer server = server(CallerServer.bind("127.0.0.1:0"), requests);
                Socket caller = connect(server)) {
            send(caller);
            serving.await();
            server.closeIdle();
            proceed.countDown();
            assertThat(readToEnd(caller)).endsWith("body");
        }
    }

    /** A request that was read while the last one was served must be answered too. */
    @Test
    void servesRequestThatWasReadBeforeIdleConnectionsWereClosed() throws Exception {
        CountDownLatch serving = new CountDownLatch(1);
        CountDownLatch proceed = new CountDownLatch(1);
        RequestServer requests =
                (connection, request, body, closeAfterAnswer) -> {
                    serving.countDown();
                    awaitUninterrupted(proceed);
                    return answer(connection);
                };
        try (CallerServer server = server(CallerServer.bind("127.0.0.1:0"), requests);
                Socket caller = connect(server)) {
            caller.getOutputStream()
                    .write((REQUEST + REQUEST).getBytes(StandardCharsets.ISO_8859_1));
            serving.await();
            server.closeIdle();
            proceed.countDown();
            assertThat(readToEnd(caller).split("HTTP/1.1 200", -1)).hasLength(3);
        }
    }

    /** Guards against a shutdown that ends before it sees a connection that was just accepted. */
    @Test
    void countsEveryAcceptedConnectionOnceItIsClosed() throws Exception {
        CountDownLatch accepted = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        ServerSocket listener =
                new ServerSocket(0, 1, InetAddress.getLoopbackAddress()) {
                    @Override
                    public Socket accept() throws IOException {
                        Socket socket = super.accept();
                        accepted.countDown();
                        awaitUninterrupted(closed);
                        return socket;
                    }

                    @Override
                    public void close() throws IOException {
                        super.close();
                        closed.countDown();
                    }
                };
        RequestServer requests = (connection, request, body, close) -> answer(connection);
        CallerServer server = server(listener, requests);
        try (Socket caller = connect(server)) {
            accepted.await();
            server.close();
            assertThat(server.connectionCount()).isEqualTo(1);
            server.closeIdle();
            assertThat(readToEnd(caller)).isEmpty();
        }
    }

    private static String readToEnd(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean answer(CallerConnection connection) {
        try {
            connection.writeAnswer(200, HeaderFields.NONE, BODY, false);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private CallerServer server(ServerSocket listener, RequestServer requests) {
        CallerServer server =
                new CallerServer(listener, requests, new RoutingState()::callerLimits, timers);
        server.start();
        return server;
    }

    private static Socket connect(CallerServer server) throws IOException {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.port());
        caller.setSoTimeout(10_000);
        return caller;
    }

    private static void send(Socket caller) throws IOException {
        caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void awaitConnections(CallerServer server, int count) {
        while (server.connectionCount() != count) {
            Thread.onSpinWait();
        }
    }

    /** Called before a socket is closed, with the number of calls so far. */
    @FunctionalInterface
    private interface CloseInterceptor {
        void beforeClose(int closes);
    }

    /** Accepts sockets that tell when they are about to be closed. */
    private static final class InterceptingListener extends ServerSocket {
        private final CloseInterceptor interceptor;

        InterceptingListener(CloseInterceptor interceptor) throws IOException {
            super(0, 1, InetAddress.getLoopbackAddress());
            this.interceptor = interceptor;
        }

        @Override
        public Socket accept() throws IOException {
            AtomicInteger closes = new AtomicInteger();
            Socket socket =
                    new Socket() {
                        @Override
                        public void close() throws IOException {
                            interceptor.beforeClose(closes.incrementAndGet());
                            super.close();
                        }
                    };
            implAccept(socket);
            return socket;
        }
    }
}
