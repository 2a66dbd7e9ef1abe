package org.skylarkmast.bench.cluster;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import tools.jackson.databind.JsonNode;

/**
 * The stand-ins of a cluster: the platform's services and the targets, each a process of its own.
 */
final class StandIns {

    /** The key-value service. */
    static final String STORE = "store";

    /** The host list. */
    static final String HOSTS = "hosts";

    private static final String MAIN = "org.skylarkmast.standins.StandInMain";
    private static final int TIMEOUT_MS = 10_000;

    private final JavaLauncher launcher;
    private final Path folder;
    private final HttpClient http;
    private final Map<String, ChildProcess> processes = new LinkedHashMap<>();
    private final Map<String, String> controls = new HashMap<>();
    private final List<Runner> engines = new ArrayList<>();
    private final List<Runner> services = new ArrayList<>();
    private final Map<String, String> hostStates = new LinkedHashMap<>();
    private String storeAddress;

    StandIns(JavaLauncher launcher, Path folder, HttpClient http) {
        this.launcher = launcher;
        this.folder = folder;
        this.http = http;
    }

    /** Starts all stand-ins that {@code shape} needs, beside each other. */
    void start(ClusterShape shape) throws IOException {
        Map<String, JavaLauncher.Started> started = new LinkedHashMap<>();
        started.put(STORE, launch(STORE, List.of("store", "--port", "0", "--control-port", "0")));
        started.put(HOSTS, launch(HOSTS, List.of("hosts", "--port", "0")));
        for (int i = 0; i < shape.engines().size(); i++) {
            String name = "engine-" + (i + 1);
            started.put(name, launch(name, engineArguments(name, shape.engines().get(i))));
        }
        for (int i = 0; i < shape.services(); i++) {
            String name = "service-" + (i + 1);
            started.put(name, launch(name, serviceArguments(name)));
        }
        int engineIndex = 0;
        int serviceIndex = 0;
        for (Map.Entry<String, JavaLauncher.Started> entry : started.entrySet()) {
            String name = entry.getKey();
            JsonNode ready = launcher.awaitReady(entry.getValue());
            String address = address(ready.get("port").intValue());
            int control =
                    ready.has("controlPort")
                            ? ready.get("controlPort").intValue()
                            : ready.get("port").intValue();
            controls.put(name, address(control));
            if (name.equals(STORE)) {
                storeAddress = address;
            } else if (name.startsWith("engine-")) {
                engines.add(runner(name, shape.domain(engineIndex++), address));
            } else if (name.startsWith("service-")) {
                services.add(runner(name, shape.domain(serviceIndex++), address));
            }
        }
    }

    private JavaLauncher.Started launch(String name, List<String> arguments) throws IOException {
        JavaLauncher.Started started = launcher.start(name, MAIN, arguments);
        processes.put(name, started.process());
        return started;
    }

    private List<String> engineArguments(String name, ClusterShape.EngineSpeed speed) {
        return List.of(
                "engine",
                "--port",
                "0",
                "--name",
                name,
                "--model",
                ObjectSet.MODEL,
                "--version",
                ObjectSet.MODEL_VERSION,
                "--prefill-tokens-per-second",
                Integer.toString(speed.prefillTokensPerSecond()),
                "--decode-tokens-per-second",
                Integer.toString(speed.decodeTokensPerSecond()),
                "--cache-tokens",
                "100000",
                "--max-concurrent",
                "16",
                "--report-interval-ms",
                "500",
                "--checks-epoch",
                "--record",
                record(name).toString());
    }

    private List<String> serviceArguments(String name) {
        return List.of(
                "service",
                "--port",
                "0",
                "--name",
                name,
                "--latency-ms",
                "20",
                "--max-concurrent",
                "16",
                "--record",
                record(name).toString());
    }

    private Path record(String name) {
        return folder.resolve(name + ".record");
    }

    private Runner runner(String name, String domain, String address) {
        return new Runner(name, domain, address, record(name));
    }

    List<Runner> engines() {
        return List.copyOf(engines);
    }

    List<Runner> services() {
        return List.copyOf(services);
    }

    String storeAddress() {
        return storeAddress;
    }

    String hostListAddress() {
        return controls.get(HOSTS);
    }

    List<String> names() {
        return List.copyOf(processes.keySet());
    }

    ChildProcess process(String name) {
        return processes.get(name);
    }

    /** Sets the faults of a stand-in, replacing those before. */
    void faults(String name, Map<String, Object> faults) throws IOException {
        send(controls.get(name), "POST", "/faults", faults);
    }

    /**
     * Puts a host on the list or changes its state.
     *
     * @param state {@code LIVE} or {@code LEAVING}; empty takes it off the list
     */
    void host(String address, String failureDomain, String state) {
        if (state.isEmpty()) {
            hostStates.remove(address);
        } else {
            hostStates.put(address, failureDomain + " " + state);
        }
    }

    /** Publishes the host list. */
    void publishHosts() throws IOException {
        List<Map<String, Object>> hosts = new ArrayList<>();
        hostStates.forEach(
                (address, value) -> {
                    int space = value.indexOf(' ');
                    hosts.add(
                            Map.of(
                                    "address", address,
                                    "failureDomain", value.substring(0, space),
                                    "state", value.substring(space + 1)));
                });
        send(controls.get(HOSTS), "PUT", "/hosts", Map.of("hosts", hosts));
    }

    /** The JSON that a stand-in answers at {@code path}. */
    JsonNode get(String name, String path) throws IOException {
        HttpOutcome outcome = http.send(ClientRequest.get(controls.get(name), path, TIMEOUT_MS));
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() == 200) {
            return JsonUtil.MAPPER.readTree(answered.body());
        }
        throw new IOException("GET " + path + " at " + name + ": " + outcome);
    }

    private void send(String address, String method, String path, Object body) throws IOException {
        HttpOutcome outcome =
                http.send(
                        new ClientRequest(
                                address,
                                method,
                                path,
                                Map.of("Content-Type", "application/json"),
                                JsonUtil.toBytes(body),
                                TIMEOUT_MS,
                                true));
        boolean done =
                outcome instanceof HttpOutcome.Answered answered && answered.status() / 100 == 2;
        if (!done) {
            String text =
                    outcome instanceof HttpOutcome.Answered answered
                            ? answered.status()
                                    + " "
                                    + new String(answered.body(), StandardCharsets.UTF_8)
                            : outcome.toString();
            throw new IOException(method + " " + path + " at " + address + ": " + text);
        }
    }

    void stop() {
        processes.values().forEach(ChildProcess::destroy);
    }

    private static String address(int port) {
        return LocalCluster.LOOPBACK + ":" + port;
    }
}
