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

/** The stand-ins of a cluster, each in its own process: the platform's services and the targets. */
final class StandIns {

    /** Name of the key-value service. */
    static final String STORE = "store";

    /** Name of the host list. */
    static final String HOST_LIST = "hosts";

    private static final String STAND_IN_MAIN = "org.skylarkmast.standins.StandInMain";
    private static final int REQUEST_TIMEOUT_MS = 10_000;

    private final JavaLauncher launcher;
    private final Path folder;
    private final HttpClient http;
    private final Map<String, ChildProcess> processes = new LinkedHashMap<>();
    private final Map<String, String> controlAddresses = new HashMap<>();
    private final List<Runner> engines = new ArrayList<>();
    private final List<Runner> services = new ArrayList<>();
    private final Map<String, String> hostStates = new LinkedHashMap<>();
    private String storeAddress;

    StandIns(JavaLauncher launcher, Path folder, HttpClient http) {
        this.launcher = launcher;
        this.folder = folder;
        this.http = http;
    }

    /** Starts all stand-ins of {@code shape} in parallel and waits until they are ready. */
    void start(ClusterShape shape) throws IOException {
        Map<String, JavaLauncher.StartedProcess> started = new LinkedHashMap<>();
        started.put(STORE, launch(STORE, List.of("store", "--port", "0", "--control-port", "0")));
        started.put(HOST_LIST, launch(HOST_LIST, List.of("hosts", "--port", "0")));
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
        for (Map.Entry<String, JavaLauncher.StartedProcess> entry : started.entrySet()) {
            String name = entry.getKey();
            JsonNode ready = launcher.awaitReady(entry.getValue());
            String address = address(ready.get("port").intValue());
            int control =
                    ready.has("controlPort")
                            ? ready.get("controlPort").intValue()
                            : ready.get("port").intValue();
            controlAddresses.put(name, address(control));
            if (name.equals(STORE)) {
                storeAddress = address;
            } else if (name.startsWith("engine-")) {
                engines.add(runner(name, shape.failureDomain(engineIndex++), address));
            } else if (name.startsWith("service-")) {
                services.add(runner(name, shape.failureDomain(serviceIndex++), address));
            }
        }
    }

    private JavaLauncher.StartedProcess launch(String name, List<String> arguments)
            throws IOException {
        JavaLauncher.StartedProcess started = launcher.start(name, STAND_IN_MAIN, arguments);
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
                ConfigurationObjects.MODEL,
                "--version",
                ConfigurationObjects.MODEL_VERSION,
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
                recordFile(name).toString());
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
                recordFile(name).toString());
    }

    private Path recordFile(String name) {
        return folder.resolve(name + ".record");
    }

    private Runner runner(String name, String failureDomain, String address) {
        return new Runner(name, failureDomain, address, recordFile(name));
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
        return controlAddresses.get(HOST_LIST);
    }

    List<String> names() {
        return List.copyOf(processes.keySet());
    }

    ChildProcess process(String name) {
        return processes.get(name);
    }

    /** Sets the faults of a stand-in, replacing its previous faults. */
    void setFaults(String name, Map<String, Object> faults) throws IOException {
        send(controlAddresses.get(name), "POST", "/faults", faults);
    }

    /**
     * Adds a host to the list or changes its state. Takes effect with {@link #publishHosts}.
     *
     * @param state {@code LIVE} or {@code LEAVING}; an empty state removes the host
     */
    void setHost(String address, String failureDomain, String state) {
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
        send(controlAddresses.get(HOST_LIST), "PUT", "/hosts", Map.of("hosts", hosts));
    }

    /** Returns the JSON that a stand-in answers to a GET of {@code path}. */
    JsonNode get(String name, String path) throws IOException {
        HttpOutcome outcome =
                http.send(ClientRequest.get(controlAddresses.get(name), path, REQUEST_TIMEOUT_MS));
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() == 200) {
            return JsonUtil.MAPPER.readTree(answered.body());
        }
        throw new IOException("GET " + path + " at " + name + " failed: " + outcome);
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
                                REQUEST_TIMEOUT_MS,
                                true));
        boolean succeeded =
                outcome instanceof HttpOutcome.Answered answered && answered.status() / 100 == 2;
        if (!succeeded) {
            String text =
                    outcome instanceof HttpOutcome.Answered answered
                            ? answered.status()
                                    + " "
                                    + new String(answered.body(), StandardCharsets.UTF_8)
                            : outcome.toString();
            throw new IOException(method + " " + path + " at " + address + " failed: " + text);
        }
    }

    void stop() {
        processes.values().forEach(ChildProcess::destroy);
    }

    private static String address(int port) {
        return LocalCluster.LOOPBACK + ":" + port;
    }
}
