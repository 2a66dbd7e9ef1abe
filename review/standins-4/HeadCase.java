import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/**
 * A consumer's kept channel carries HEAD and POST requests by turns, while a configuration drops
 * the route of the HEAD requests.
 */
final class HeadCase {
    private static final int PAIRS = 40;

    private HeadCase() {}

    public static void main(String[] arguments) {
        Cases.run(arguments[0], HeadCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        for (int i = 0; i < 2; i++) {
            RunnerStandIn runner =
                    new RunnerStandIn(lab.ip(60 + i), "i-" + i, "app", "v1", 6, 24) {
                        @Override
                        boolean run(
                                Http.Message request,
                                Map<String, String> fields,
                                Socket socket,
                                java.io.OutputStream out)
                                throws IOException, InterruptedException {
                            if (!request.method().equals("HEAD")) {
                                return super.run(request, fields, socket, out);
                            }
                            fields.put("Content-Length", "800");
                            out.write(Http.message("HTTP/1.1 200 OK", fields, null));
                            return true;
                        }
                    };
            lab.addRunner(runner);
        }
        String once = route("parts-order", "/once/", "unsafe", 3000);
        String status = route("job-status", "/status/", "safe", 1200);
        lab.store.put(
                "op/config", Cases.configuration(1, Cases.service("app", 0), status, once));
        lab.addKeepers(2);
        lab.addEntries(1);
        lab.start();
        Thread.sleep(500);
        int strayAnswers = 0;
        Node entry = lab.entries.get(0);
        Channel channel = new Channel(entry);
        for (int i = 0; i < PAIRS; i++) {
            if (trouble && i == PAIRS / 4) {
                lab.store.put("op/config", Cases.configuration(2, Cases.service("app", 0), once));
                lab.log("configuration 2, without the route job-status, is acknowledged");
            }
            try {
                String head = channel.exchange("HEAD", "/status/7", "h-" + i);
                lab.log("h-" + i + " HEAD /status/7: " + head);
                String order = channel.exchange("POST", "/once/7", "o-" + i);
                lab.log("o-" + i + " POST /once/7: " + order);
            } catch (StrayBytesException e) {
                strayAnswers++;
                lab.log("o-" + i + " POST /once/7: where its answer is due: " + e.getMessage());
                channel.close();
                channel = new Channel(entry);
            }
            Thread.sleep(100);
        }
        channel.close();
        for (RunnerStandIn runner : lab.runners) {
            for (RunnerStandIn.Run run : runner.runs) {
                lab.log("ran: " + run.requestId() + " " + run.target() + " at " + runner.id);
            }
        }
        lab.log(strayAnswers + " answers began with bytes that are no answer");
        return strayAnswers == 0;
    }

    private static String route(String name, String prefix, String kind, int timeoutMs) {
        return Cases.route(
                name, prefix, kind, timeoutMs, ",\"service\":\"app\",\"max_attempts\":1");
    }

    /** Bytes arrived that do not begin an answer. */
    private static final class StrayBytesException extends IOException {
        private static final long serialVersionUID = 1L;

        StrayBytesException(String line) {
            super(line);
        }
    }

    /** A kept channel of a consumer, which reads answers as RFC 9112 says. */
    private static final class Channel {
        private final Socket socket = new Socket();
        private final InputStream in;
        private final Node entry;

        Channel(Node entry) throws IOException {
            this.entry = entry;
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(entry.ip, Node.FRONT_PORT), 1000);
            socket.setSoTimeout(5000);
            in = Http.buffered(socket.getInputStream());
        }

        String exchange(String method, String target, String id) throws IOException {
            boolean head = method.equals("HEAD");
            socket.getOutputStream()
                    .write(
                            Http.message(
                                    method + " " + target + " HTTP/1.1",
                                    Caller.fields("h.example", id, 3000),
                                    head ? null : "one saddle".getBytes()));
            Http.Message answer;
            try {
                answer = Http.readHead(in);
            } catch (IOException e) {
                throw new StrayBytesException(e.getMessage());
            }
            if (answer == null) {
                throw new IOException(entry.name + " closed the channel");
            }
            if (!answer.startLine.startsWith("HTTP/1.1 ")) {
                throw new StrayBytesException(answer.startLine);
            }
            int length = head ? 0 : Http.readBody(in, answer, false).length;
            return answer.startLine + ", " + length + " bytes, of request " + answer.field("x-request-id");
        }

        void close() throws IOException {
            socket.close();
        }
    }
}
