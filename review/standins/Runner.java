import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The listening side of a runner; what it does with a request is up to its handler. */
final class Runner implements AutoCloseable {
    final String id;
    final String service;
    final String address;
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();

    /** A request as it arrived. */
    record Request(String method, String target, Map<String, String> fields, byte[] body) {
        String id() {
            return fields.getOrDefault("x-request-id", "");
        }
    }

    /** One channel from a node. */
    static final class Channel {
        final Socket socket;
        final OutputStream out;

        private Channel(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Closes the channel with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Serves a request on its channel. */
    interface Handler {
        /** Called for one request at a time on a channel. */
        void handle(Runner runner, Request request, Channel channel)
                throws IOException, InterruptedException;
    }

    Runner(String id, String service, String ip, Handler handler) throws IOException {
        this.id = id;
        this.service = service;
        this.handler = handler;
        this.listener = new ServerSocket(0, 256, InetAddress.getByName(ip));
        this.address = ip + ":" + listener.getLocalPort();
        Thread.ofVirtual().start(this::accept);
    }

    /** Returns the runner's entry in the platform's store. */
    String entry(String state, int slots) {
        return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z0\",\"version\":\"v1\","
                        + "\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":1,"
                        + "\"born\":%d}")
                .formatted(service, address, slots, state, born);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                channels.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                // The runner has ended.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Channel channel = new Channel(socket);
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                String[] words = head.line().split(" ");
                int length =
                        Integer.parseInt(head.fields().getOrDefault("content-length", "0"));
                byte[] body = Http.readLength(in, length);
                Request request = new Request(words[0], words[1], head.fields(), body);
                String expected = request.fields().get("x-expect-instance");
                if (expected != null && !expected.equals(id)) {
                    channel.write(
                            "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: "
                                    + request.id()
                                    + "\r\nX-Instance-Id: "
                                    + id
                                    + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                handler.handle(this, request, channel);
            }
        } catch (IOException e) {
            // The node has closed the channel.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            channels.remove(socket);
        }
    }

    /** Ends the runner; its channels are reset. */
    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : channels) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException e) {
            // Nothing is left to release.
        }
    }

    /** Returns a complete answer with the runner's signature. */
    static String answer(int status, String requestId, String fields, String body) {
        return "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s"
                .formatted(status, requestId, fields, body.length(), body);
    }

    /** Returns the field with which a runner signs the answer to a request that it has run. */
    static String signature(String requestId) {
        return "X-Server-Signature: s." + requestId + "\r\n";
    }
}
