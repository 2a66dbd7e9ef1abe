import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A node of the platform as a process, started as the deploy file says. */
final class Node implements AutoCloseable {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}");

    private final Path repository;
    private final Path folder;
    private final String role;
    private final Map<String, String> values = new TreeMap<>();
    private Process process;

    /**
     * @param storage whether it is a storage node
     * @param ip loopback address of the node's host
     */
    Node(Path repository, Path folder, boolean storage, String name, String zone, String ip,
            String storeAddress, int tolerated, int memoryMb) throws IOException {
        this.repository = repository;
        this.folder = Files.createDirectories(folder.resolve(name));
        this.role = storage ? "keeper" : "entry";
        values.put("node", name);
        values.put("zone", zone);
        values.put("ip", ip);
        values.put("internal_ports.0", Integer.toString(Wire.freePort(ip)));
        values.put("listen.front", storage ? "" : ip + ":" + Wire.freePort(ip));
        values.put("listen.ready", storage ? "" : ip + ":" + Wire.freePort(ip));
        values.put("data_dir", storage ? Files.createDirectories(this.folder.resolve("data")).toString() : "");
        values.put("bootstrap", "true");
        values.put("tolerate.machines", Integer.toString(tolerated));
        values.put("bounds.grace_s", "8");
        values.put("platform.address", storeAddress);
        values.put("limits.memory_mb", Integer.toString(memoryMb));
        values.put("limits.max_fds", storage ? "8200" : "4100");
    }

    /** Sets whether the settings say that the whole system starts for the first time. */
    void setFirstStart(boolean firstStart) {
        values.put("bootstrap", Boolean.toString(firstStart));
    }

    String name() {
        return values.get("node");
    }

    String front() {
        return values.get("listen.front");
    }

    String ready() {
        return values.get("listen.ready");
    }

    String metrics() {
        return values.get("ip") + ":9464";
    }

    Path log() {
        return folder.resolve("log.txt");
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void start() throws IOException {
        Path settings = folder.resolve("node.json");
        Files.writeString(settings, filled(Files.readString(repository.resolve("deploy/node.json"))));
        String section = Files.readString(repository.resolve("deploy/system.toml")).split("\\[roles\\." + role + "]")[1].split("\\n\\[")[0];
        Matcher run = Pattern.compile("run = \"([^\"]*)\"").matcher(section);
        run.find();
        List<String> command = new ArrayList<>(List.of(filled(run.group(1)).split(" ")));
        command.set(0, repository.resolve(command.get(0)).toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("SKYLARKMAST_CONFIG", settings.toString());
        Matcher env = Pattern.compile("([A-Z_]+) = \"([^\"]*)\"").matcher(section.substring(section.indexOf("env = {")));
        while (env.find()) {
            builder.environment().put(env.group(1), filled(env.group(2)));
        }
        File log = log().toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        values.put("bootstrap", "false");
    }

    private String filled(String template) {
        return PLACEHOLDER.matcher(template).replaceAll(match -> {
            String value = values.getOrDefault(match.group(1), "");
            return Matcher.quoteReplacement(match.group(2) == null ? value : Json.quoted(value));
        });
    }

    /** Sends a signal, such as KILL, STOP or CONT. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills the process and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    void wipe() throws IOException {
        try (var files = Files.walk(folder.resolve("data"))) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
        Files.createDirectories(folder.resolve("data"));
    }

    boolean isReady() {
        try (var socket = Wire.connect(ready(), 1000)) {
            Wire.write(socket.getOutputStream(), "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0]);
            return Wire.message(socket.getInputStream()).status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Returns a figure in kB from /proc/PID/status, -1 if there is none. */
    long statusKb(String name) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith(name + ":")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
        } catch (IOException e) {
            // The process has ended.
        }
        return -1;
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null && process.isAlive()) {
            kill();
        }
    }
}
