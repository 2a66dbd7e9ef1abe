import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the platform's store, storage nodes and entry nodes,
 * these two started with the commands and the template of the deploy file.
 */
final class Deployment implements AutoCloseable {
    private static final int METRICS_PORT = 9464;
    private static final int FIRST_NODE = 10;
    private static final long START_TIMEOUT_MS = 40_000;

    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder = Files.createTempDirectory("review");
    private final int octet = freeOctet();
    private final List<Node> nodes = new ArrayList<>();
    private int runners;
    final Platform platform = new Platform(ip(2));
    final List<Node> entries = new ArrayList<>();
    final List<Node> storage = new ArrayList<>();

    /** A node in a process of its own. */
    final class Node {
        final String name;
        final String ip;
        final int internalPort;
        final int frontPort;
        final int readyPort;
        private final String role;
        private final String machineClass;
        private final String zone;
        private boolean startedBefore;
        Process process;

        private Node(String role, String machineClass, String zone, int number)
                throws IOException {
            this.role = role;
            this.machineClass = machineClass;
            this.zone = zone;
            this.name = machineClass + "-" + zone + "-" + number;
            this.ip = ip(FIRST_NODE + nodes.size());
            this.internalPort = freePort(ip);
            this.frontPort = freePort(ip);
            this.readyPort = freePort(ip);
            nodes.add(this);
        }

        String front() {
            return ip + ":" + frontPort;
        }

        /** Starts the process as the deploy file says. */
        void start() throws IOException {
            String deploy = Files.readString(root.resolve("deploy/system.toml"));
            Matcher section =
                    Pattern.compile("(?s)\\[roles\\." + role + "\\](.*?)(\\n\\[|$)")
                            .matcher(deploy);
            if (!section.find()) {
                throw new IOException("no role " + role + " in the deploy file");
            }
            String run = quoted(section.group(1), "run");
            Path settings = folder.resolve(name + ".settings");
            String template = Files.readString(root.resolve(quoted(section.group(1), "template")));
            Files.writeString(settings, render(template, fields()));
            List<String> command = new ArrayList<>(List.of(run.split(" ")));
            command.set(0, root.resolve(command.get(0)).toString());
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("SKYLARKMAST_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            startedBefore = true;
        }

        private Map<String, Object> fields() throws IOException {
            Map<String, Object> fields = new HashMap<>();
            boolean entry = machineClass.equals("front");
            fields.put("node", name);
            fields.put("zone", zone);
            fields.put("ip", ip);
            fields.put("internal_ports.0", internalPort);
            fields.put("internal_ports.1", internalPort);
            fields.put("listen.front", entry ? front() : "");
            fields.put("listen.ready", entry ? ip + ":" + readyPort : "");
            Path data = folder.resolve(name + ".data");
            if (!entry) {
                Files.createDirectories(data);
            }
            fields.put("data_dir", entry ? "" : data.toString());
            fields.put("bootstrap", !startedBefore);
            fields.put("tolerate.machines", 1);
            fields.put("bounds.grace_s", 8);
            fields.put("platform.address", platform.address());
            return fields;
        }

        /** Whether the node answers the platform's question with 200. */
        boolean isReady() {
            try (Caller.Channel channel = new Caller.Channel(ip + ":" + readyPort, 1000)) {
                channel.send("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]);
                return channel.read("GET", 1000).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        String log() throws IOException {
            return Files.readString(folder.resolve(name + ".log"));
        }
    }

    /** Creates the nodes of a deployment with a storage node in each of three zones. */
    Deployment(int entryNodes) throws IOException {
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        for (int i = 0; i < 3; i++) {
            storage.add(new Node("keeper", "storage", "z" + i, 1));
        }
        for (int i = 0; i < entryNodes; i++) {
            entries.add(new Node("entry", "front", "z" + i % 3, 1 + i / 3));
        }
    }

    /** Returns a loopback address of this deployment. */
    String ip(int last) {
        return "127." + octet + ".0." + last;
    }

    /** Returns an address for another runner. */
    synchronized String nextRunnerIp() {
        return ip(100 + runners++);
    }

    /** Starts all nodes and waits until the entry nodes are ready. */
    void start(String configuration) throws IOException, InterruptedException {
        platform.put("op/config", configuration);
        for (Node node : nodes) {
            node.start();
        }
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        for (Node entry : entries) {
            while (!entry.isReady()) {
                if (System.nanoTime() - endNs > 0) {
                    throw new IOException(entry.name + " did not become ready");
                }
                Thread.sleep(100);
            }
        }
        // Storage nodes join the view one after the other.
        Thread.sleep(5000);
    }

    private void killAll() {
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.onExit().join();
            }
        }
        platform.close();
        String keep = System.getenv("REVIEW_KEEP_LOGS");
        if (keep != null) {
            return;
        }
        try (Stream<Path> tree = Files.walk(folder)) {
            for (Path file : tree.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    Path folder() {
        return folder;
    }

    private static String quoted(String section, String name) throws IOException {
        Matcher value = Pattern.compile("(?m)^" + name + " = \"(.*)\"").matcher(section);
        if (!value.find()) {
            throw new IOException("no " + name + " in the deploy file");
        }
        return value.group(1);
    }

    private static String render(String template, Map<String, Object> fields) throws IOException {
        Matcher placeholder =
                Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?\\}\\}").matcher(template);
        StringBuilder rendered = new StringBuilder();
        while (placeholder.find()) {
            Object value = fields.get(placeholder.group(1));
            if (value == null) {
                throw new IOException("no field " + placeholder.group(1));
            }
            boolean quote = placeholder.group(2) != null && value instanceof String;
            String text = quote ? Json.quote(value.toString()) : value.toString();
            placeholder.appendReplacement(rendered, Matcher.quoteReplacement(text));
        }
        placeholder.appendTail(rendered);
        return rendered.toString();
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** Returns the second number of loopback addresses on which no other deployment runs. */
    private static int freeOctet() throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            int octet = ThreadLocalRandom.current().nextInt(20, 250);
            String ip = "127." + octet + ".0." + FIRST_NODE;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, METRICS_PORT), 200);
            } catch (IOException free) {
                return octet;
            }
        }
        throw new IOException("no free loopback addresses");
    }
}
