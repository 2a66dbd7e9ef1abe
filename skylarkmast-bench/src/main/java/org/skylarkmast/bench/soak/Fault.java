package org.skylarkmast.bench.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.skylarkmast.bench.cluster.LocalCluster;
import org.skylarkmast.bench.cluster.Node;
import org.skylarkmast.bench.cluster.Runner;
import org.skylarkmast.bench.cluster.Signal;

/**
 * A failure that is injected and later ended.
 *
 * @param subject the process concerned; two faults at a time have different subjects
 */
record Fault(String name, String subject, Change begin, Change end) {
    private static final long SHUTDOWN_TIMEOUT_MS = 120_000;

    /** A change to the cluster. */
    @FunctionalInterface
    interface Change {
        void apply(LocalCluster cluster) throws IOException;
    }

    /** Draws one of all kinds of fault. */
    static Fault draw(LocalCluster cluster, SplittableRandom random) {
        Node node = pick(cluster.nodes(), random);
        Runner engine = pick(cluster.engines(), random);
        Runner service = pick(cluster.services(), random);
        List<Fault> kinds =
                List.of(
                        kill(node),
                        pause(node),
                        shutDown(node),
                        unlist(node),
                        standIn("store down", "store", Map.of("down", true)),
                        standIn("store slow", "store", Map.of("delayMs", 300)),
                        standIn("store loses answers", "store", Map.of("loseAnswers", 5)),
                        standIn("store breaks watches", "store", Map.of("dropWatches", true)),
                        standIn("store expires leases", "store", Map.of("expireLeases", true)),
                        standIn("engine refuses", engine.name(), Map.of("refuse", true)),
                        standIn("engine slow", engine.name(), Map.of("slowdown", 5)),
                        standIn("engine breaks", engine.name(), Map.of("breakAfterTokens", 3)),
                        standIn("engine forgets", engine.name(), Map.of("forgetCache", true)),
                        standIn("engine mute", engine.name(), Map.of("muteEvents", true)),
                        standIn("service loses answers", service.name(), Map.of("loseAnswers", 2)),
                        standIn("service refuses", service.name(), Map.of("refuse", true)),
                        leave(engine),
                        leave(service));
        return pick(kinds, random);
    }

    static Fault kill(Node node) {
        return new Fault(
                "kill",
                node.name(),
                cluster -> cluster.signal(node.name(), Signal.KILL),
                cluster -> cluster.restart(node));
    }

    static Fault pause(Node node) {
        return new Fault(
                "pause",
                node.name(),
                cluster -> cluster.signal(node.name(), Signal.STOP),
                cluster -> cluster.signal(node.name(), Signal.CONT));
    }

    static Fault shutDown(Node node) {
        return new Fault(
                "graceful shutdown",
                node.name(),
                cluster -> cluster.signal(node.name(), Signal.TERM),
                cluster -> {
                    if (!cluster.awaitEnd(node, SHUTDOWN_TIMEOUT_MS)) {
                        throw new IOException(node.name() + " did not shut down");
                    }
                    cluster.restart(node);
                });
    }

    static Fault unlist(Node node) {
        return new Fault(
                "taken off the host list",
                node.name(),
                cluster -> cluster.setListed(node, false),
                cluster -> cluster.setListed(node, true));
    }

    static Fault leave(Runner runner) {
        return new Fault(
                "leaving",
                runner.name(),
                cluster -> cluster.markLeaving(runner),
                cluster -> cluster.markLive(runner));
    }

    static Fault standIn(String name, String standIn, Map<String, Object> faults) {
        return new Fault(
                name,
                standIn,
                cluster -> cluster.injectFaults(standIn, faults),
                cluster -> cluster.clearFaults(standIn));
    }

    private static <T> T pick(List<T> from, SplittableRandom random) {
        return from.get(random.nextInt(from.size()));
    }
}
