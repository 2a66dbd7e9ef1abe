package org.skylarkmast.daemon.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.program.Operation;
import org.skylarkmast.core.program.ProgramAction;
import org.skylarkmast.core.program.ProgramEvent;
import org.skylarkmast.core.scheduling.SchedulingEvent;
import org.skylarkmast.http.AbortSignal;
import org.skylarkmast.http.HttpClient;

/** Tests calls to a target that answers the call before twice on a kept connection. */
class ServiceSenderLateAnswerTest {
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";

    private final List<String> received = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final List<ProgramEvent> events = new ArrayList<>();
    private final HttpClient client = new HttpClient(8, 1000);
    private volatile String lateAnswer = "";
    private ServerSocket target;

    private final CallEventSink sink =
            new CallEventSink() {
                @Override
                public void notifyPartition(long callId, ProgramEvent event) {
                    events.add(event);
                }

                @Override
                public void notifyScheduler(SchedulingEvent event) {
                    // The partition is told the same.
                }
            };

    @BeforeEach
    void start() throws IOException {
        target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        target.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        while (!target.isClosed()) {
            try {
                Socket socket = target.accept();
                sockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket;
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String path = line.split(" ", -1)[1];
                while (!line.isEmpty()) {
                    line = in.readLine();
                }
                received.add(path);
                String repeated = path.equals("/a") ? lateAnswer : "";
                String answers = ANSWER + path + repeated;
                socket.getOutputStream().write(answers.getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // The client closed the connection.
        }
    }

    private void call(long callId, String path, boolean repeatable) {
        ProgramAction.SendService send =
                new ProgramAction.SendService(
                        callId,
                        "r",
                        new ProgramKey("w", "p"),
                        path,
                        1,
                        new Operation.ServiceCall("t", "GET", path, "", new byte[0]),
                        repeatable,
                        System.nanoTime() + TimeUnit.SECONDS.toNanos(20),
                        "");
        String address = "127.0.0.1:" + target.getLocalPort();
        new ServiceSender(client, sink, System::nanoTime)
                .send(send, address, true, "", new AbortSignal());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 429 x\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 409 x\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Serv",
                ANSWER + "/a"
            })
    void callThatMayRunOnceGetsItsOwnAnswerOnly(String repeated) {
        lateAnswer = repeated;
        call(1, "/a", true);
        call(2, "/b", false);
        assertThat(received).containsExactly("/a", "/b").inOrder();
        assertThat(sockets).hasSize(2);
        ProgramEvent.ServiceFinished finished = (ProgramEvent.ServiceFinished) events.getLast();
        assertThat(finished.callId()).isEqualTo(2);
        assertThat(finished.status()).isEqualTo(200);
        assertThat(new String(finished.body(), StandardCharsets.UTF_8)).isEqualTo("/b");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 429 x\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 409 x\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Serv",
                ANSWER + "/a"
            })
    void repeatableCallGetsNoLateAnswerOfAnEarlierOne(String repeated) {
        lateAnswer = repeated;
        call(1, "/a", true);
        call(2, "/b", true);
        assertThat(events.getLast()).isInstanceOf(ProgramEvent.ServiceFinished.class);
        ProgramEvent.ServiceFinished finished = (ProgramEvent.ServiceFinished) events.getLast();
        assertThat(new String(finished.body(), StandardCharsets.UTF_8)).isEqualTo("/b");
    }
}
