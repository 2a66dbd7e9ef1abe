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
 * A fault that is injected into the cluster and later ended.
 *
 * @param process name of the affected process; simultaneous faults affect different processes
 */
record Fault(String name, String process, Change begin, Change end) {
    private static final long SHUTDOWN_TIMEOUT_MS = 120_000;

    /** A change to the cluster. */
    @FunctionalInterface
    interface Change {
        void apply(LocalCluster cluster) throws IOException;
    }

    /** Draws a fault of a random kind on a random process. */
    static Fault draw(LocalCluster cluster, SplittableRandom random) {
        Node node = pickRandom(cluster.nodes(), random);
        Runner engine = pickRandom(cluster.engines(), random);
        Runner service = pickRandom(cluster.services(), random);
        List<Fault> kinds =
                List.of(
                        kill(node),
                        pause(node),
                        shutDown(node),
                        removeFromHostList(node),
                        standInFault("store down", "store", Map.of("down", true)),
                        standInFault("store slow", "store", Map.of("delayMs", 300)),
                        standInFault("store loses answers", "store", Map.of("loseAnswers", 5)),
                        standInFault("store breaks watches", "store", Map.of("dropWatches", true)),
                        standInFault("store expires leases", "store", Map.of("expireLeases", true)),
                        standInFault("engine refuses", engine.name(), Map.of("refuse", true)),
                        standInFault("engine slow", engine.name(), Map.of("slowdown", 5)),
                        standInFault("engine breaks", engine.name(), Map.of("breakAfterTokens", 3)),
                        standInFault("engine forgets", engine.name(), Map.of("forgetCache", true)),
                        standInFault("engine mute", engine.name(), Map.of("muteEvents", true)),
                        standInFault(
                                "service loses answers", service.name(), Map.of("loseAnswers", 2)),
                        standInFault("service refuses", service.name(), Map.of("refuse", true)),
                        leave(engine),
                        leave(service));
        return pickRandom(kinds, random);
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

    static Fault removeFromHostList(Node node) {
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

    static Fault standInFault(String name, String standIn, Map<String, Object> settings) {
        return new Fault(
                name,
                standIn,
                cluster -> cluster.injectFaults(standIn, settings),
                cluster -> cluster.clearFaults(standIn));
    }

    private static <T> T pickRandom(List<T> candidates, SplittableRandom random) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}
