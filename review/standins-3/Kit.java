import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Stand-ins of the platform, of runners and of callers, and the nodes as processes. */
final class Kit {
    private Kit() {}

    static final long START_NS = System.nanoTime();

    /** Milliseconds since the start of the script. */
    static long nowMs() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    static void sleepUntil(long ms) throws InterruptedException {
        long left = ms - nowMs();
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    /** Whether the script brings the disruption about. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** The record of what was sent, answered and run. */
    static final class Record {
        private final List<String> lines = new ArrayList<>();

        synchronized void add(String text) {
            lines.add(String.format("%8d ms  %s", nowMs(), text));
        }

        synchronized void write(Path file) throws IOException {
            Files.write(file, lines);
        }
    }

    // ---- HTTP -------------------------------------------------------------------------------

    /** A message: the first line, the fields by lower-case name, and the body. */
    record Message(String firstLine, Map<String, String> fields, byte[] body) {
        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        Map<String, String> query() {
            Map<String, String> values = new HashMap<>();
            String[] parts = target().split("\\?", 2);
            if (parts.length == 2) {
                for (String pair : parts[1].split("&")) {
                    String[] sides = pair.split("=", 2);
                    values.put(
                            sides[0],
                            java.net.URLDecoder.decode(
                                    sides.length == 2 ? sides[1] : "", StandardCharsets.UTF_8));
                }
            }
            return values;
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new IOException("ended inside a line");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message's first line and fields; null if the channel has ended. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new HashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Message(first, fields, new byte[0]);
    }

    /** Reads a whole message with a length or in chunks. */
    static Message readMessage(InputStream in) throws IOException {
        Message head = readHead(in);
        return head == null
                ? null
                : new Message(head.firstLine(), head.fields(), readBody(in, head));
    }

    private static byte[] readBody(InputStream in, Message head) throws IOException {
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new IOException("ended before a chunk");
                }
                int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                byte[] chunk = in.readNBytes(length);
                if (chunk.length < length) {
                    throw new IOException("ended inside a chunk");
                }
                body.write(chunk);
                if (readLine(in) == null) {
                    throw new IOException("ended after a chunk");
                }
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        int length = Integer.parseInt(head.fields().getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("ended inside the body");
        }
        return body;
    }

    static byte[] answer(int status, Map<String, String> fields, String body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        head.append("Content-Length: " + bytes.length + "\r\n\r\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(bytes);
        return out.toByteArray();
    }

    /** Serves one request of a channel; returns whether the channel goes on. */
    interface Service {
        boolean serve(Message request, Socket channel) throws IOException, InterruptedException;
    }

    /** A server with a thread for each channel. */
    static final class Server {
        private final ServerSocket listener;
        private final Service service;
        private final Set<Socket> channels = ConcurrentHashMap.newKeySet();

        Server(Service service) throws IOException {
            this(service, 0);
        }

        /** Listens on a port, or on a free one for 0. */
        Server(Service service, int port) throws IOException {
            this.listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress("127.0.0.1", port), 500);
            this.service = service;
            Thread.ofVirtual().start(this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket channel = listener.accept();
                    channel.setTcpNoDelay(true);
                    channels.add(channel);
                    Thread.ofVirtual().start(() -> serve(channel));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket channel) {
            try (channel) {
                InputStream in = new java.io.BufferedInputStream(channel.getInputStream());
                boolean goesOn = true;
                while (goesOn) {
                    Message request = readMessage(in);
                    goesOn = request != null && service.serve(request, channel);
                }
            } catch (IOException e) {
                // The other side has left.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                channels.remove(channel);
            }
        }

        void close() throws IOException {
            listener.close();
            for (Socket channel : channels) {
                // As the system does for a process that has ended.
                channel.setSoLinger(true, 0);
                channel.close();
            }
        }
    }

    // ---- the platform's store ---------------------------------------------------------------

    /** The platform's store, as far as the nodes call it. */
    static final class Store {
        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Change> history = new ArrayList<>();
        private final Server server;
        private long revision = 100;

        private record Item(String key, String value, long created, long rev) {
            String json() {
                return "{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%d,\"created_rev\":%d,\"lease\":0}"
                        .formatted(key, value, rev, created);
            }
        }

        private record Change(String key, long rev, String json) {}

        Store() throws IOException {
            server = new Server(this::serve);
        }

        String address() {
            return server.address();
        }

        /** Writes a key; the return is the store's ack. */
        synchronized void put(String key, String text) {
            revision++;
            write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
            notifyAll();
        }

        synchronized void remove(String key) {
            if (items.remove(key) != null) {
                revision++;
                history.add(
                        new Change(
                                key,
                                revision,
                                "{\"key\":\"%s\",\"rev\":%d,\"deleted\":true}"
                                        .formatted(key, revision)));
                notifyAll();
            }
        }

        synchronized String get(String key) {
            Item item = items.get(key);
            return item == null
                    ? null
                    : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
        }

        private void write(String key, String value) {
            Item before = items.get(key);
            Item item =
                    new Item(key, value, before == null ? revision : before.created(), revision);
            items.put(key, item);
            history.add(new Change(key, revision, item.json()));
        }

        private boolean serve(Message request, Socket channel)
                throws IOException, InterruptedException {
            byte[] reply =
                    switch (request.path()) {
                        case "/-/kv-range" -> range(request.query());
                        case "/-/kv-key" -> key(request.query().getOrDefault("key", ""));
                        case "/-/kv-watch" -> watch(request.query());
                        case "/-/kv-txn" -> commit(request.text());
                        default -> answer(404, Map.of(), "");
                    };
            channel.getOutputStream().write(reply);
            return true;
        }

        private static byte[] json(int status, String body) {
            return answer(status, Map.of("Content-Type", "application/json"), body);
        }

        private synchronized byte[] range(Map<String, String> query) {
            String prefix = query.getOrDefault("path_prefix", "");
            String after = query.getOrDefault("after", "");
            List<String> found = new ArrayList<>();
            for (Item item : items.values()) {
                if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                    found.add(item.json());
                }
            }
            return json(
                    200,
                    "{\"items\":[%s],\"truncated\":false,\"store_revision\":%d}"
                            .formatted(String.join(",", found), revision));
        }

        private synchronized byte[] key(String key) {
            Item item = items.get(key);
            return item == null
                    ? json(404, "{}")
                    : json(
                            200,
                            item.json()
                                    .replaceFirst(
                                            "\\{", "{\"store_revision\":" + revision + ","));
        }

        private synchronized byte[] watch(Map<String, String> query) throws InterruptedException {
            String prefix = query.getOrDefault("path_prefix", "");
            long after = Long.parseLong(query.get("after"));
            long endMs = nowMs() + Math.min(30_000, Long.parseLong(query.get("wait_ms")));
            while (true) {
                List<String> events = new ArrayList<>();
                for (Change change : history) {
                    if (change.rev() > after && change.key().startsWith(prefix)) {
                        events.add(change.json());
                    }
                }
                long leftMs = endMs - nowMs();
                if (!events.isEmpty() || leftMs <= 0) {
                    return json(
                            200,
                            "{\"events\":[%s],\"store_revision\":%d}"
                                    .formatted(String.join(",", events), revision));
                }
                wait(leftMs);
            }
        }

        private synchronized byte[] commit(String body) {
            Map<?, ?> txn = (Map<?, ?>) new Json(body).value();
            List<String> present = new ArrayList<>();
            boolean holds = true;
            for (Object row : (List<?>) txn.get("expect")) {
                Map<?, ?> expected = (Map<?, ?>) row;
                Item item = items.get((String) expected.get("key"));
                long rev = item == null ? 0 : item.rev();
                holds &= rev == ((Number) expected.get("rev")).longValue();
                if (item != null) {
                    present.add(item.json());
                }
            }
            if (!holds) {
                return json(412, "{\"items\":[%s]}".formatted(String.join(",", present)));
            }
            revision++;
            for (Object row : (List<?>) txn.get("puts")) {
                Map<?, ?> put = (Map<?, ?>) row;
                write((String) put.get("key"), (String) put.get("value"));
            }
            for (Object key : (List<?>) txn.get("deletes")) {
                items.remove((String) key);
                history.add(
                        new Change(
                                (String) key,
                                revision,
                                "{\"key\":\"%s\",\"rev\":%d,\"deleted\":true}"
                                        .formatted(key, revision)));
            }
            notifyAll();
            return json(200, "{\"rev\":%d}".formatted(revision));
        }
    }

    /** A parser of JSON: maps, lists, texts, numbers as doubles, booleans and null. */
    static final class Json {
        private final String text;
        private int at;

        Json(String text) {
            this.text = text;
        }

        Object value() {
            skip();
            char c = text.charAt(at);
            if (c == '{') {
                at++;
                Map<String, Object> map = new LinkedHashMap<>();
                for (skip(); text.charAt(at) != '}'; skip()) {
                    if (text.charAt(at) == ',') {
                        at++;
                        skip();
                    }
                    String key = string();
                    skip();
                    at++;
                    map.put(key, value());
                }
                at++;
                return map;
            }
            if (c == '[') {
                at++;
                List<Object> list = new ArrayList<>();
                for (skip(); text.charAt(at) != ']'; skip()) {
                    if (text.charAt(at) == ',') {
                        at++;
                    }
                    list.add(value());
                }
                at++;
                return list;
            }
            if (c == '"') {
                return string();
            }
            int from = at;
            while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) {
                at++;
            }
            String word = text.substring(from, at);
            return switch (word) {
                case "true" -> Boolean.TRUE;
                case "false" -> Boolean.FALSE;
                case "null" -> null;
                default -> Double.valueOf(word);
            };
        }

        private void skip() {
            while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
                at++;
            }
        }

        private String string() {
            StringBuilder out = new StringBuilder();
            for (at++; text.charAt(at) != '"'; at++) {
                char c = text.charAt(at);
                if (c == '\\') {
                    c = text.charAt(++at);
                    c =
                            switch (c) {
                                case 'n' -> '\n';
                                case 't' -> '\t';
                                case 'r' -> '\r';
                                case 'u' -> {
                                    at += 4;
                                    yield (char)
                                            Integer.parseInt(text.substring(at - 3, at + 1), 16);
                                }
                                default -> c;
                            };
                }
                out.append(c);
            }
            at++;
            return out.toString();
        }
    }

    /** A TCP proxy whose open channels can be made silent for good while new ones work. */
    static final class Proxy {
        private final ServerSocket listener;
        private final InetSocketAddress target;
        private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();

        private static final class Pair {
            final Socket near;
            final Socket far;
            volatile boolean silent;

            Pair(Socket near, Socket far) {
                this.near = near;
                this.far = far;
            }
        }

        Proxy(String target) throws IOException {
            this.target = parse(target);
            this.listener = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
            Thread.ofVirtual().start(this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Makes the open channels silent: nothing passes on them and none is closed. */
        int silence() {
            int count = 0;
            for (Pair pair : pairs) {
                pair.silent = true;
                count++;
            }
            return count;
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket near = listener.accept();
                    Socket far = new Socket();
                    far.connect(target, 1000);
                    near.setTcpNoDelay(true);
                    far.setTcpNoDelay(true);
                    Pair pair = new Pair(near, far);
                    pairs.add(pair);
                    Thread.ofVirtual().start(() -> pump(pair, near, far));
                    Thread.ofVirtual().start(() -> pump(pair, far, near));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void pump(Pair pair, Socket from, Socket to) {
            byte[] buffer = new byte[65536];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    if (!pair.silent) {
                        out.write(buffer, 0, n);
                    }
                }
            } catch (IOException e) {
                // One side has closed.
            }
            if (!pair.silent || from == pair.near) {
                close(pair);
            }
        }

        private void close(Pair pair) {
            pairs.remove(pair);
            try {
                pair.near.close();
                pair.far.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    // ---- nodes --------------------------------------------------------------------------------

    /** A node of the project, started with the command of the deploy file. */
    static final class Node {
        /** Ports for other nodes, callers and readiness checks, below those that clients get. */
        static final int[] PORTS = {7380, 8149, 8141};

        /** The port of `metrics` in the deploy file. */
        private static final int METRICS_PORT = 9464;

        final String name;
        final String ip;
        final boolean keeper;
        private final Path folder;
        private final String zone;
        private final String storeAddress;
        private final boolean bootstrap;
        private Process process;
        private int starts;

        Node(boolean keeper, String zone, int zoneNumber, int host, Path root, String store) {
            this(keeper, zone, zoneNumber, host, root, store, true);
        }

        /**
         * @param bootstrap whether the first start of this node is one of the whole system
         */
        Node(
                boolean keeper,
                String zone,
                int zoneNumber,
                int host,
                Path root,
                String store,
                boolean bootstrap) {
            this.bootstrap = bootstrap;
            this.keeper = keeper;
            this.zone = zone;
            this.name = (keeper ? "storage-" : "front-") + zone + "-" + host;
            this.ip = "127." + (100 + zoneNumber) + "." + NETWORK + "." + host;
            this.folder = root.resolve(name);
            this.storeAddress = store;
        }

        /** The third number of all addresses: one with which the nodes' ports are free. */
        static final int NETWORK = freeNetwork();

        private static int freeNetwork() {
            for (int tries = 0; tries < 50; tries++) {
                int network = ThreadLocalRandom.current().nextInt(1, 250);
                if (isFree(network)) {
                    return network;
                }
            }
            throw new IllegalStateException("no free addresses");
        }

        private static boolean isFree(int network) {
            for (int zone = 1; zone <= 3; zone++) {
                for (int host = 2; host <= 4; host++) {
                    for (int port : new int[] {PORTS[0], PORTS[1], PORTS[2], METRICS_PORT}) {
                        String address = "127." + (100 + zone) + "." + network + "." + host;
                        try (ServerSocket socket = new ServerSocket()) {
                            socket.setReuseAddress(true);
                            socket.bind(new InetSocketAddress(address, port));
                        } catch (IOException e) {
                            return false;
                        }
                    }
                }
            }
            return true;
        }

        InetSocketAddress callers() {
            return new InetSocketAddress(ip, PORTS[1]);
        }

        long pid() {
            return process.pid();
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        /** Starts the process as the platform does, with the template of the deploy file filled. */
        void start(Path repository) throws IOException {
            Files.createDirectories(folder);
            Path settings = folder.resolve("node.json");
            Files.writeString(settings, settings(bootstrap && starts++ == 0));
            ProcessBuilder builder = new ProcessBuilder(command(repository));
            builder.directory(repository.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("SKYLARKMAST_CONFIG", settings.toString());
            environment.put("SKYLARKMAST_MEMORY_MB", keeper ? "300" : "280");
            environment.put("SKYLARKMAST_MAX_DESCRIPTORS", keeper ? "8200" : "4100");
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve("log.txt").toFile()));
            process = builder.start();
            ALL.add(process);
        }

        /** The words of `run` in the deploy file. */
        private List<String> command(Path repository) throws IOException {
            boolean inRole = false;
            for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
                if (line.startsWith("[")) {
                    inRole = line.equals(keeper ? "[roles.keeper]" : "[roles.entry]");
                } else if (inRole && line.startsWith("run = ")) {
                    String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                    return List.of(words.split(" "));
                }
            }
            throw new IOException("the deploy file names no command");
        }

        private String settings(boolean first) {
            return """
            {"node": "%s", "failureDomain": "%s", "ip": "%s", "internalPort": %d,
             "callersAddress": "%s", "readinessAddress": "%s", "dataFolder": "%s",
             "firstStart": %s, "toleratedLosses": 1, "graceS": 8, "storeAddress": "%s"}
            """
                    .formatted(
                            name,
                            zone,
                            ip,
                            PORTS[0],
                            keeper ? "" : ip + ":" + PORTS[1],
                            keeper ? "" : ip + ":" + PORTS[2],
                            keeper ? folder.resolve("data") : "",
                            first,
                            storeAddress);
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        boolean awaitExit(long ms) throws InterruptedException {
            return process.waitFor(ms, TimeUnit.MILLISECONDS);
        }

        boolean ready() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, PORTS[2]), 200);
                socket.setSoTimeout(500);
                socket.getOutputStream()
                        .write(
                                "GET /-/readiness HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                Message reply = readHead(socket.getInputStream());
                return reply != null && reply.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    private static final List<Process> ALL = Collections.synchronizedList(new ArrayList<>());

    static {
        // Also if the script itself is ended.
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
    }

    /** Ends all processes that the script started. */
    static void endAll() {
        for (Process process : ALL) {
            process.destroyForcibly();
        }
        for (Process process : ALL) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    // ---- callers ------------------------------------------------------------------------------

    /** A caller's kept channel. */
    static final class Channel implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;

        Channel(InetSocketAddress node) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(node, 1000);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        /** Sends a request and reads the whole answer; fails if the channel ends before. */
        Message exchange(
                String method, String path, Map<String, String> fields, byte[] body, int timeoutMs)
                throws IOException {
            send(method, path, fields, body);
            socket.setSoTimeout(timeoutMs);
            Message reply = readMessage(in);
            if (reply == null) {
                throw new IOException("channel ended without an answer");
            }
            return reply;
        }

        void send(String method, String path, Map<String, String> fields, byte[] body)
                throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            head.append("Host: shop.example\r\n");
            fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: " + body.length + "\r\n");
            }
            head.append("\r\n");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.writeBytes(body);
            socket.getOutputStream().write(out.toByteArray());
        }

        InputStream in() {
            return in;
        }

        Socket socket() {
            return socket;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    static String id() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }
}
