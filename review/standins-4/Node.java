import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A node of the project, started with the command of the deploy file, on a loopback address. */
final class Node implements AutoCloseable {
    static final int INTERNAL_PORT = 7380;
    static final int FRONT_PORT = 8149;
    static final int READY_PORT = 8141;

    final String name;
    final String ip;
    private final boolean keeper;
    private final Path folder;
    private final String store;
    private final int memoryMb;
    private Process process;
    private int starts;

    Node(boolean keeper, String name, String ip, Path root, String store, int memoryMb) {
        this.keeper = keeper;
        this.name = name;
        this.ip = ip;
        this.folder = root.resolve(name);
        this.store = store;
        this.memoryMb = memoryMb;
    }

    /** Returns the words of the role's {@code run} line. */
    private static List<String> command(String role) throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run =
                Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        return List.of(run.group(1).split(" +"));
    }

    synchronized void start() throws IOException {
        Files.createDirectories(folder.resolve("data"));
        Path settings = folder.resolve("node.json");
        Files.writeString(
                settings,
                """
                {"node": "%s", "failureDomain": "d", "ip": "%s", "internalPort": %d,
                 "callersAddress": "%s", "readinessAddress": "%s", "dataFolder": "%s",
                 "firstStart": %s, "toleratedLosses": 1, "graceS": 8, "storeAddress": "%s"}
                """
                        .formatted(
                                name,
                                ip,
                                INTERNAL_PORT,
                                keeper ? "" : ip + ":" + FRONT_PORT,
                                keeper ? "" : ip + ":" + READY_PORT,
                                keeper ? folder.resolve("data") : "",
                                starts++ == 0,
                                store));
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(command(keeper ? "keeper" : "entry")));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "LANG"));
        environment.put("SKYLARKMAST_CONFIG", settings.toString());
        environment.put("SKYLARKMAST_REVOCATION_STRICT", "");
        environment.put("SKYLARKMAST_REVOCATION_MS", "");
        environment.put("SKYLARKMAST_QUOTA_WINDOW_S", "");
        environment.put("SKYLARKMAST_QUOTA_OVERAGE", "");
        environment.put("SKYLARKMAST_QUOTA_SLACK", "");
        environment.put("SKYLARKMAST_MEMORY_MB", Integer.toString(memoryMb));
        environment.put("SKYLARKMAST_MAX_DESCRIPTORS", keeper ? "8200" : "4100");
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(
                                ProcessBuilder.Redirect.appendTo(
                                        folder.resolve("log.txt").toFile()))
                        .start();
    }

    /** The next start is not the first one of the whole system. */
    void notFirst() {
        starts = 1;
    }

    /** Removes what the node has on its disk; only while its process does not run. */
    void wipe() throws IOException {
        try (java.util.stream.Stream<Path> files = Files.walk(folder.resolve("data"))) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    Path log() {
        return folder.resolve("log.txt");
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills the process and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Returns the status of the node's readiness; 0 if it does not answer within a second. */
    int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, READY_PORT), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(Http.message("GET /-/readiness HTTP/1.1", Map.of("Host", ip), null));
            Http.Message answer = Http.readHead(Http.buffered(socket.getInputStream()));
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns a metric of the node, or NaN if it cannot be read. */
    double metric(String metric) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, 9464), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(Http.message("GET /metrics HTTP/1.1", Map.of("Host", ip), null));
            InputStream in = Http.buffered(socket.getInputStream());
            Http.Message answer = Http.readHead(in);
            String text = new String(Http.readBody(in, answer, false));
            for (String line : text.split("\n")) {
                if (line.startsWith(metric + " ")) {
                    return Double.parseDouble(line.substring(metric.length() + 1).strip());
                }
            }
        } catch (IOException | RuntimeException e) {
            // Told by the result.
        }
        return Double.NaN;
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
