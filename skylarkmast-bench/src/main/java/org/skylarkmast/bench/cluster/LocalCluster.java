package org.skylarkmast.bench.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.skylarkmast.bench.history.HistoryRecord;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import tools.jackson.databind.JsonNode;

/**
 * A whole system on this machine: nodes, targets and the platform's services as processes.
 *
 * <p>Every injected fault is told to the history. Not thread-safe, but for {@link #nodes} and the
 * methods that only send requests.
 */
public final class LocalCluster implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";

    private static final String DAEMON_MAIN = "org.skylarkmast.daemon.Main";
    private static final long SPREAD_TIMEOUT_MS = 60_000;
    private static final long POLL_MS = 50;
    private static final int REQUEST_TIMEOUT_MS = 10_000;

    private final ClusterShape shape;
    private final Path folder;
    private final Consumer<HistoryRecord> history;
    private final JavaLauncher launcher;
    private final HttpClient http = new HttpClient(4, 2_000);
    private final StandIns standIns;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, ChildProcess> processes = new LinkedHashMap<>();

    private LocalCluster(
            ClusterShape shape, Path folder, String classPath, Consumer<HistoryRecord> history) {
        this.shape = shape;
        this.folder = folder;
        this.history = history;
        this.launcher = new JavaLauncher(folder, classPath);
        this.standIns = new StandIns(launcher, folder, http);
    }

    /**
     * Starts a cluster, publishes its objects and waits until all nodes have them in force.
     *
     * @param folder for settings, records, logs and data; created if missing
     * @param classPath of the daemon and the stand-ins
     * @param history takes what the cluster does and sees
     * @throws IOException if a process does not get ready; all processes have ended then
     */
    public static LocalCluster start(
            ClusterShape shape, Path folder, String classPath, Consumer<HistoryRecord> history)
            throws IOException {
        Files.createDirectories(folder);
        LocalCluster cluster = new LocalCluster(shape, folder, classPath, history);
        try {
            cluster.standIns.start(shape);
            cluster.startNodes();
            cluster.publishHosts();
            long revision = cluster.publishObjects();
            cluster.awaitRevision(revision);
            cluster.awaitAllOwned();
            return cluster;
        } catch (IOException | RuntimeException e) {
            cluster.close();
            throw e;
        }
    }

    private void startNodes() throws IOException {
        FreePorts ports = new FreePorts(ProcessHandle.current().pid());
        Map<Node, JavaLauncher.Started> started = new LinkedHashMap<>();
        for (int i = 0; i < shape.nodes(); i++) {
            Node node =
                    new Node(
                            "host-" + (i + 1),
                            shape.domain(i),
                            LOOPBACK + ":" + ports.next(),
                            LOOPBACK + ":" + ports.next(),
                            LOOPBACK + ":" + ports.next());
            nodes.add(node);
            Files.write(settingsFile(node), settings(node));
            started.put(node, launch(node));
        }
        for (JavaLauncher.Started process : started.values()) {
            launcher.awaitReady(process);
        }
    }

    private byte[] settings(Node node) {
        return NodeSettings.json(
                node,
                shape,
                standIns.storeAddress(),
                standIns.hostListAddress(),
                folder.resolve(node.name() + ".data"),
                folder.resolve(node.name() + ".trace"));
    }

    private Path settingsFile(Node node) {
        return folder.resolve(node.name() + ".json");
    }

    private JavaLauncher.Started launch(Node node) throws IOException {
        JavaLauncher.Started started =
                launcher.start(
                        node.name(),
                        DAEMON_MAIN,
                        List.of("--settings", settingsFile(node).toString()));
        processes.put(node.name(), started.process());
        return started;
    }

    private void publishHosts() throws IOException {
        for (Node node : nodes) {
            standIns.host(node.callers(), node.failureDomain(), "LIVE");
        }
        for (Runner runner : runners()) {
            standIns.host(runner.address(), runner.failureDomain(), "LIVE");
        }
        standIns.publishHosts();
    }

    private long publishObjects() throws IOException {
        List<Map<String, Object>> objects =
                ObjectSet.objects(shape, standIns.engines(), standIns.services());
        return publish(nodes.getFirst(), objects);
    }

    /**
     * Publishes objects at one node, over whatever is in force.
     *
     * @return the new revision
     * @throws IOException if the publish was refused or its outcome is not known
     */
    public long publish(Node node, List<Map<String, Object>> objects) throws IOException {
        OptionalLong base = revision(node);
        Map<String, Object> change =
                Map.of("baseRevision", base.orElse(0), "apply", objects, "delete", List.of());
        HttpOutcome outcome =
                http.send(
                        new ClientRequest(
                                node.administration(),
                                "PUT",
                                "/v1/objects",
                                operatorHeaders(),
                                JsonUtil.toBytes(change),
                                REQUEST_TIMEOUT_MS,
                                true));
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() == 200) {
            long revision = JsonUtil.MAPPER.readTree(answered.body()).get("revision").longValue();
            history.accept(new HistoryRecord.ConfigurationAccepted(nowMs(), revision));
            return revision;
        }
        String seen =
                outcome instanceof HttpOutcome.Answered answered
                        ? answered.status() + " " + answered.text()
                        : outcome.toString();
        throw new IOException("publish at " + node.name() + ": " + seen);
    }

    /** The revision that a node has in force; empty if it does not answer. */
    public OptionalLong revision(Node node) {
        HttpOutcome outcome =
                http.send(
                        new ClientRequest(
                                node.administration(),
                                "GET",
                                "/v1/objects",
                                operatorHeaders(),
                                new byte[0],
                                REQUEST_TIMEOUT_MS,
                                false));
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() == 200) {
            JsonNode body = JsonUtil.MAPPER.readTree(answered.body());
            return OptionalLong.of(body.get("revision").longValue());
        }
        return OptionalLong.empty();
    }

    /** Asks every node for its revision and tells the history. */
    public void observeRevisions() {
        for (Node node : nodes) {
            revision(node)
                    .ifPresent(
                            seen ->
                                    history.accept(
                                            new HistoryRecord.ConfigurationSeen(
                                                    nowMs(), node.name(), seen)));
        }
    }

    private void awaitRevision(long revision) throws IOException {
        for (Node node : nodes) {
            Await.until(
                    node.name() + " has revision " + revision,
                    SPREAD_TIMEOUT_MS,
                    POLL_MS,
                    () -> revision(node).orElse(-1) >= revision);
        }
    }

    /** Waits until running nodes own all partitions between them. */
    public void awaitAllOwned() throws IOException {
        Await.until(
                "all partitions are owned",
                SPREAD_TIMEOUT_MS,
                POLL_MS,
                () -> ownedPartitions() == ProgramKey.PARTITIONS);
    }

    private int ownedPartitions() {
        int owned = 0;
        for (Node node : nodes) {
            if (alive(node)) {
                String status = administration(node, "/v1/status");
                owned +=
                        status.isEmpty()
                                ? 0
                                : JsonUtil.MAPPER.readTree(status).path("partitionsOwned").asInt(0);
            }
        }
        return owned;
    }

    /** All nodes, those ended or paused too. */
    public List<Node> nodes() {
        return List.copyOf(nodes);
    }

    /** The runners of the model engines. */
    public List<Runner> engines() {
        return standIns.engines();
    }

    /** The runners of the plain service. */
    public List<Runner> services() {
        return standIns.services();
    }

    private List<Runner> runners() {
        List<Runner> all = new ArrayList<>(engines());
        all.addAll(services());
        return all;
    }

    /** Sends a signal to a node or a stand-in and tells the history what it does. */
    public void signal(String name, Signal signal) throws IOException {
        ChildProcess process =
                processes.containsKey(name) ? processes.get(name) : standIns.process(name);
        if (signal == Signal.KILL || signal == Signal.STOP) {
            String kind = signal == Signal.KILL ? "kill" : "pause";
            history.accept(new HistoryRecord.FaultStarted(nowMs(), name, kind));
        }
        process.signal(signal);
        if (signal == Signal.CONT) {
            history.accept(new HistoryRecord.FaultEnded(nowMs(), name));
        }
    }

    /**
     * Waits until a node's process has ended.
     *
     * @return whether it ended in time
     */
    public boolean awaitEnd(Node node, long timeoutMs) {
        return processes.get(node.name()).awaitEnd(timeoutMs);
    }

    /** Whether a node's process runs. */
    public boolean alive(Node node) {
        return processes.get(node.name()).alive();
    }

    /** Starts an ended node again and waits until it is ready. */
    public void restart(Node node) throws IOException {
        launcher.awaitReady(launch(node));
        history.accept(new HistoryRecord.FaultEnded(nowMs(), node.name()));
    }

    /** Ends all faults: resumes and heals every stand-in and starts every node that has ended. */
    public void restore() throws IOException {
        for (String standIn : standIns.names()) {
            signal(standIn, Signal.CONT);
            heal(standIn);
        }
        for (Node node : nodes) {
            signal(node.name(), Signal.CONT);
            if (!alive(node)) {
                restart(node);
            }
        }
        publishHosts();
    }

    /** Sets the faults of a stand-in. */
    public void inject(String standIn, Map<String, Object> faults) throws IOException {
        history.accept(new HistoryRecord.FaultStarted(nowMs(), standIn, faults.toString()));
        standIns.faults(standIn, faults);
    }

    /** Ends all faults of a stand-in. */
    public void heal(String standIn) throws IOException {
        standIns.faults(standIn, Map.of());
        history.accept(new HistoryRecord.FaultEnded(nowMs(), standIn));
    }

    /** Lets the host list name a runner as leaving. */
    public void leave(Runner runner) throws IOException {
        standIns.host(runner.address(), runner.failureDomain(), "LEAVING");
        standIns.publishHosts();
        history.accept(new HistoryRecord.RunnerLeaving(nowMs(), runner.name()));
    }

    /** Lets the host list name a runner as live again. */
    public void comeBack(Runner runner) throws IOException {
        history.accept(new HistoryRecord.RunnerLive(nowMs(), runner.name()));
        standIns.host(runner.address(), runner.failureDomain(), "LIVE");
        standIns.publishHosts();
    }

    /** Takes a node off the host list, or back on it. */
    public void list(Node node, boolean listed) throws IOException {
        standIns.host(node.callers(), node.failureDomain(), listed ? "LIVE" : "");
        standIns.publishHosts();
    }

    /** What a stand-in answers at {@code path}. */
    public JsonNode standIn(String name, String path) throws IOException {
        return standIns.get(name, path);
    }

    /** What a node's administration port answers, as text; empty if it does not answer 200. */
    public String administration(Node node, String path) {
        HttpOutcome outcome =
                http.send(
                        new ClientRequest(
                                node.administration(),
                                "GET",
                                path,
                                operatorHeaders(),
                                new byte[0],
                                REQUEST_TIMEOUT_MS,
                                false));
        return outcome instanceof HttpOutcome.Answered answered && answered.status() == 200
                ? answered.text()
                : "";
    }

    /** What all targets recorded and what running engines still hold. */
    public List<HistoryRecord> targetRecords() throws IOException {
        List<HistoryRecord> records = new ArrayList<>();
        for (Runner engine : engines()) {
            records.addAll(TargetRecords.engine(engine));
            if (standIns.process(engine.name()).alive()) {
                records.addAll(heldBy(engine));
            }
        }
        for (Runner service : services()) {
            records.addAll(TargetRecords.service(service));
        }
        return records;
    }

    /** What an engine holds now. */
    public List<HistoryRecord.EngineHeld> heldBy(Runner engine) throws IOException {
        List<HistoryRecord.EngineHeld> held = new ArrayList<>();
        for (String program : standIn(engine.name(), "/cache").get("programs").propertyNames()) {
            held.add(new HistoryRecord.EngineHeld(nowMs(), engine.name(), program));
        }
        return held;
    }

    private static Map<String, String> operatorHeaders() {
        return Map.of(
                "Authorization", "Bearer " + Keys.OPERATOR, "Content-Type", "application/json");
    }

    private static long nowMs() {
        return System.currentTimeMillis();
    }

    @Override
    public void close() {
        processes.values().forEach(ChildProcess::destroy);
        standIns.stop();
        http.close();
    }
}
