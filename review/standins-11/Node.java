import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A machine with one process of the project, started with the command of the deploy file. */
final class Node {
    private static final int INTERNAL_PORT = 7380;
    private static final int FRONT_PORT = 8149;
    private static final int READY_PORT = 8141;
    private static final HttpClient HTTP =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(300))
                    .build();

    final String name;
    final String ip;
    private final boolean front;
    private final String zone;
    private final Path repository;
    private final Path folder;
    private final String storeAddress;
    private final int toleratedLosses;
    private final Log log;
    private Process process;

    Node(
            String name,
            String ip,
            String zone,
            boolean front,
            Path repository,
            Path temporary,
            String storeAddress,
            int toleratedLosses,
            Log log) {
        this.name = name;
        this.ip = ip;
        this.zone = zone;
        this.front = front;
        this.repository = repository;
        this.folder = temporary.resolve(name);
        this.storeAddress = storeAddress;
        this.toleratedLosses = toleratedLosses;
        this.log = log;
    }

    String frontAddress() {
        return ip + ":" + FRONT_PORT;
    }

    /** Starts the process. */
    synchronized void start(boolean bootstrap) throws IOException {
        Files.createDirectories(folder.resolve("data"));
        Map<String, String> values = new HashMap<>();
        values.put("node", name);
        values.put("zone", zone);
        values.put("ip", ip);
        values.put("internal_ports.0", Integer.toString(INTERNAL_PORT));
        values.put("listen.front", front ? frontAddress() : "");
        values.put("listen.ready", front ? ip + ":" + READY_PORT : "");
        values.put("data_dir", front ? "" : folder.resolve("data").toString());
        values.put("bootstrap", Boolean.toString(bootstrap));
        values.put("tolerate.machines", Integer.toString(toleratedLosses));
        values.put("bounds.grace_s", "8");
        values.put("platform.address", storeAddress);
        values.put("limits.memory_mb", front ? "430" : "450");
        values.put("limits.max_fds", front ? "4100" : "8200");
        String role = role(front ? "entry" : "keeper");
        Path settings = folder.resolve("settings");
        Files.writeString(
                settings, fill(Files.readString(repository.resolve(field(role, "template"))), values));
        ProcessBuilder builder = new ProcessBuilder(List.of(fill(field(role, "run"), values).split(" ")));
        builder.directory(repository.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("SKYLARKMAST_CONFIG", settings.toString());
        Matcher variable =
                Pattern.compile("([A-Z0-9_]+) = \"([^\"]*)\"").matcher(line(role, "env"));
        while (variable.find()) {
            builder.environment().put(variable.group(1), fill(variable.group(2), values));
        }
        File output = folder.resolve("output.log").toFile();
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output));
        process = builder.start();
        log.say("start " + name + " at " + ip + (bootstrap ? ", first start" : ""));
    }

    /** Sends a signal that is no termination by the JDK, such as STOP, CONT or TERM. */
    synchronized void signal(String signal) throws IOException, InterruptedException {
        log.say("signal " + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills the process with SIGKILL and waits for its end. */
    synchronized void kill() throws InterruptedException {
        if (process != null && process.isAlive()) {
            log.say("kill " + name);
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Removes what is on the disk of a machine whose process has ended. */
    void wipe() throws IOException {
        log.say("disk of " + name + " is lost");
        try (Stream<Path> paths = Files.walk(folder.resolve("data"))) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    boolean isReady() {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + ip + ":" + READY_PORT + "/-/readiness"))
                            .timeout(Duration.ofMillis(800))
                            .build();
            return HTTP.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    boolean isListening() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, INTERNAL_PORT), 200);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the lines of the process's output that contain {@code text}. */
    List<String> outputWith(String text) throws IOException {
        try (Stream<String> lines = Files.lines(folder.resolve("output.log"))) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    private String role(String role) throws IOException {
        String text = Files.readString(repository.resolve("deploy/system.toml"));
        int start = text.indexOf("[roles." + role + "]");
        int end = text.indexOf("[roles.", start + 1);
        return text.substring(start, end < 0 ? text.length() : end);
    }

    private static String line(String role, String field) {
        return role.lines().filter(l -> l.startsWith(field + " =")).findFirst().orElse("");
    }

    private static String field(String role, String field) {
        String line = line(role, field);
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    }

    private static String fill(String template, Map<String, String> values) {
        Matcher matcher = Pattern.compile("\\{\\{([a-z0-9_.]+)(\\|json)?}}").matcher(template);
        return matcher.replaceAll(
                found -> {
                    String value = values.getOrDefault(found.group(1), "");
                    boolean bare = value.matches("true|false|[0-9.]+");
                    boolean quoted = found.group(2) != null && (!bare || found.group(1).equals("ip"));
                    return Matcher.quoteReplacement(quoted ? "\"" + value + "\"" : value);
                });
    }
}
