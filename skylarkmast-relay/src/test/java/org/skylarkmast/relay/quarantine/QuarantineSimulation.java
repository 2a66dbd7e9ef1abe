package org.skylarkmast.relay.quarantine;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.skylarkmast.relay.ledger.LedgerCodec;

/**
 * Entry nodes that send requests to runners, some of which end the runner that begins them, on a
 * virtual clock. Nodes report to one of two storage nodes each second, and these to each other;
 * each message takes up to {@link #MAX_DELAY_MS}, and some are lost.
 */
final class QuarantineSimulation {
    private static final int NODES = 6;
    private static final int STORAGE_NODES = 2;
    private static final int SLOTS = 4;
    private static final int MAX_QUEUE = 2 * SLOTS;
    private static final double TIMEOUT_MS = 4000;
    private static final double BACKOFF_MS = 30;
    private static final double REPORT_INTERVAL_MS = 1000;
    private static final double MAX_DELAY_MS = 250;
    private static final double LOST_REPORTS = 0.05;
    private static final double RESTART_MS = 4000;
    private static final double MAX_DETECTION_MS = 50;
    private static final double SERVICE_MS = 300;
    private static final int RETRIES = 3;
    private static final int CALLER_ATTEMPTS = 3;
    private static final double POPULAR_SHARE = 0.05;
    private static final double CANCELLED_SHARE = 0.03;

    /**
     * What is simulated.
     *
     * @param load share of the runners' slots that innocent requests take
     * @param deadly number of deadly requests
     * @param deadlyGapMs mean time between two arrivals of the same deadly request
     * @param otherCrashGapMs mean time between two crashes that no request causes, 0 for none
     */
    record Scenario(
            int runners,
            double load,
            int deadly,
            double deadlyGapMs,
            double otherCrashGapMs,
            double endMs) {}

    private record Event(double atMs, long sequence, Runnable action) {}

    /** A request that a caller has sent to a node. */
    private static final class Request {
        final RequestFingerprint fingerprint;
        final boolean isDeadly;
        final Node node;
        final int callerAttempts;
        final double deadlineMs;
        int retries = RETRIES;

        Request(
                RequestFingerprint fingerprint,
                boolean isDeadly,
                Node node,
                int callerAttempts,
                double deadlineMs) {
            this.fingerprint = fingerprint;
            this.isDeadly = isDeadly;
            this.node = node;
            this.callerAttempts = callerAttempts;
            this.deadlineMs = deadlineMs;
        }
    }

    private record Send(Request request, double sentMs) {}

    private record Node(Quarantine quarantine, int index) {}

    private static final class SimulatedRunner {
        final int id;
        int incarnation;
        boolean isUp = true;
        final Deque<Send> queue = new ArrayDeque<>();
        final Set<Send> running = new HashSet<>();

        SimulatedRunner(int id) {
            this.id = id;
        }

        int load() {
            return queue.size() + running.size();
        }
    }

    /** What became of one deadly request. */
    static final class Deadly {
        int endedRunners;
        double thirdEndMs = Double.POSITIVE_INFINITY;
        int lateSends;

        @Override
        public String toString() {
            return endedRunners + " runners, " + lateSends + " late sends";
        }
    }

    /** When an innocent request was refused, the first and the last time. */
    static final class Refusals {
        final double firstMs;
        double lastMs;

        Refusals(double firstMs) {
            this.firstMs = firstMs;
        }

        @Override
        public String toString() {
            return "for %.0f ms".formatted(lastMs - firstMs);
        }
    }

    private final Scenario scenario;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::sequence));
    private final List<Node> nodes = new ArrayList<>();
    private final List<CrashReports> storageNodes = new ArrayList<>();
    private final List<SimulatedRunner> runners = new ArrayList<>();
    private double nowMs;
    private long sequence;
    private long innocents;

    final Map<RequestFingerprint, Deadly> deadly = new TreeMap<>();

    /** Innocent requests that were refused. */
    final Map<RequestFingerprint, Refusals> refusals = new TreeMap<>();

    /** The longest time that a refusal of an innocent request named. */
    long longestRefusalMs;

    int otherCrashes;
    long maxReportBytes;

    QuarantineSimulation(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(new Quarantine(this::nowNs, random.nextLong()), i));
        }
        for (int i = 0; i < STORAGE_NODES; i++) {
            storageNodes.add(new CrashReports(this::nowNs));
        }
        for (int i = 0; i < scenario.runners(); i++) {
            runners.add(new SimulatedRunner(i));
        }
    }

    private long nowNs() {
        return (long) (nowMs * TimeUnit.MILLISECONDS.toNanos(1));
    }

    private void after(double delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, sequence++, action));
    }

    private double exponential(double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }

    /** Repeats {@code action} until the end of the scenario. */
    private void repeat(double meanGapMs, Runnable action) {
        after(
                exponential(meanGapMs),
                () -> {
                    if (nowMs < scenario.endMs()) {
                        action.run();
                        repeat(meanGapMs, action);
                    }
                });
    }

    void run() {
        double arrivalsPerMs = scenario.load() * scenario.runners() * SLOTS / SERVICE_MS;
        repeat(1 / arrivalsPerMs, this::arriveInnocent);
        for (int i = 0; i < scenario.deadly(); i++) {
            RequestFingerprint fingerprint = new RequestFingerprint(1, i);
            deadly.put(fingerprint, new Deadly());
            repeat(scenario.deadlyGapMs(), () -> send(request(fingerprint, true, 1)));
        }
        if (scenario.otherCrashGapMs() > 0) {
            repeat(
                    scenario.otherCrashGapMs(),
                    () -> {
                        SimulatedRunner runner = runners.get(random.nextInt(runners.size()));
                        if (runner.isUp) {
                            otherCrashes++;
                            crash(runner);
                        }
                    });
        }
        for (Node node : nodes) {
            after(random.nextDouble() * REPORT_INTERVAL_MS, () -> report(node));
        }
        for (int i = 0; i < STORAGE_NODES; i++) {
            int from = i;
            after(random.nextDouble() * REPORT_INTERVAL_MS, () -> exchange(from));
        }
        advanceTo(scenario.endMs());
    }

    private void advanceTo(double endMs) {
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        nowMs = endMs;
    }

    /** Whether all nodes admit a request once its quarantine must have ended. */
    boolean isAdmittedAfter(RequestFingerprint fingerprint, double waitMs) {
        double atMs = nowMs;
        nowMs += waitMs;
        boolean admitted =
                nodes.stream()
                        .allMatch(
                                node ->
                                        node.quarantine().decide(fingerprint)
                                                instanceof QuarantineDecision.Admitted);
        nowMs = atMs;
        return admitted;
    }

    private Node anyNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private void arriveInnocent() {
        RequestFingerprint fingerprint =
                random.nextDouble() < POPULAR_SHARE
                        ? new RequestFingerprint(2, random.nextInt(3))
                        : new RequestFingerprint(3, innocents++);
        send(request(fingerprint, false, CALLER_ATTEMPTS));
    }

    private Request request(RequestFingerprint fingerprint, boolean isDeadly, int callerAttempts) {
        return new Request(fingerprint, isDeadly, anyNode(), callerAttempts, nowMs + TIMEOUT_MS);
    }

    private void send(Request request) {
        if (nowMs > request.deadlineMs) {
            comeAgain(request);
            return;
        }
        Quarantine quarantine = request.node.quarantine();
        if (quarantine.hasSuspects()
                && quarantine.decide(request.fingerprint)
                        instanceof QuarantineDecision.Quarantined quarantined) {
            if (!request.isDeadly) {
                refusals.computeIfAbsent(request.fingerprint, key -> new Refusals(nowMs)).lastMs =
                        nowMs;
                longestRefusalMs = Math.max(longestRefusalMs, quarantined.remainingMs());
                comeAgain(request);
            }
            return;
        }
        SimulatedRunner runner = chooseRunner();
        if (runner == null || runner.queue.size() >= MAX_QUEUE) {
            after(BACKOFF_MS, () -> send(request));
            return;
        }
        Deadly ended = deadly.get(request.fingerprint);
        if (ended != null && nowMs > ended.thirdEndMs + 3000) {
            ended.lateSends++;
        }
        runner.queue.add(new Send(request, nowMs));
        beginNext(runner);
    }

    private SimulatedRunner chooseRunner() {
        List<SimulatedRunner> up = runners.stream().filter(runner -> runner.isUp).toList();
        if (up.isEmpty()) {
            return null;
        }
        SimulatedRunner a = up.get(random.nextInt(up.size()));
        SimulatedRunner b = up.get(random.nextInt(up.size()));
        return a.load() <= b.load() ? a : b;
    }

    private void beginNext(SimulatedRunner runner) {
        while (runner.isUp && runner.running.size() < SLOTS && !runner.queue.isEmpty()) {
            Send send = runner.queue.remove();
            runner.running.add(send);
            if (send.request().isDeadly) {
                Deadly ended = deadly.get(send.request().fingerprint);
                ended.endedRunners++;
                if (ended.endedRunners == 3) {
                    ended.thirdEndMs = nowMs;
                }
                crash(runner);
                return;
            }
            after(exponential(SERVICE_MS), () -> end(runner, send));
        }
    }

    private void end(SimulatedRunner runner, Send send) {
        if (!runner.running.remove(send)) {
            return;
        }
        if (random.nextDouble() >= CANCELLED_SHARE) {
            send.request().node.quarantine().recordCompletion(send.request().fingerprint);
        }
        beginNext(runner);
    }

    private void crash(SimulatedRunner runner) {
        Map<Node, List<Send>> sendsByNode = new HashMap<>();
        List<Send> sends = new ArrayList<>(runner.running);
        sends.addAll(runner.queue);
        sends.sort(
                Comparator.comparingDouble(Send::sentMs)
                        .thenComparing(send -> send.request().fingerprint));
        sends.forEach(
                send ->
                        sendsByNode
                                .computeIfAbsent(send.request().node, key -> new ArrayList<>())
                                .add(send));
        String incarnation = runner.id + "/" + runner.incarnation;
        runner.isUp = false;
        runner.incarnation++;
        runner.running.clear();
        runner.queue.clear();
        after(RESTART_MS, () -> runner.isUp = true);
        for (Node node : nodes) {
            List<Send> lost = sendsByNode.getOrDefault(node, List.of());
            if (!lost.isEmpty()) {
                after(
                        random.nextDouble() * MAX_DETECTION_MS,
                        () -> detectCrash(node, incarnation, lost));
            }
        }
    }

    private void detectCrash(Node node, String incarnation, List<Send> lost) {
        node.quarantine()
                .recordCrash(
                        incarnation,
                        lost.stream()
                                .map(
                                        send ->
                                                new Suspect(
                                                        send.request().fingerprint,
                                                        (long) (nowMs - send.sentMs())))
                                .toList());
        for (Send send : lost) {
            if (send.request().retries-- > 0) {
                send(send.request());
            } else {
                comeAgain(send.request());
            }
        }
    }

    /** The caller sends the request again, through any node. */
    private void comeAgain(Request request) {
        if (request.callerAttempts > 1) {
            after(
                    200 + random.nextDouble() * 800,
                    () ->
                            send(
                                    request(
                                            request.fingerprint,
                                            request.isDeadly,
                                            request.callerAttempts - 1)));
        }
    }

    private double delayMs() {
        return random.nextDouble() * MAX_DELAY_MS;
    }

    private void report(Node node) {
        node.quarantine().expire();
        if (random.nextDouble() >= LOST_REPORTS) {
            QuarantineReport report = transfer(node.quarantine().reports());
            CrashReports storageNode = storageNodes.get(node.index() % STORAGE_NODES);
            after(
                    delayMs(),
                    () -> {
                        storageNode.merge(report);
                        QuarantineReport merged = transfer(storageNode.current());
                        after(delayMs(), () -> node.quarantine().apply(merged));
                    });
        }
        after(REPORT_INTERVAL_MS, () -> report(node));
    }

    private void exchange(int from) {
        QuarantineReport report = transfer(storageNodes.get(from).current());
        after(delayMs(), () -> storageNodes.get((from + 1) % STORAGE_NODES).merge(report));
        after(REPORT_INTERVAL_MS, () -> exchange(from));
    }

    private QuarantineReport transfer(QuarantineReport report) {
        byte[] bytes = LedgerCodec.encode(out -> QuarantineCodec.write(out, report));
        maxReportBytes = Math.max(maxReportBytes, bytes.length);
        try {
            return LedgerCodec.decode(bytes, QuarantineCodec::read);
        } catch (IOException e) {
            throw new UncheckedIOException("reading what was written failed", e);
        }
    }
}
