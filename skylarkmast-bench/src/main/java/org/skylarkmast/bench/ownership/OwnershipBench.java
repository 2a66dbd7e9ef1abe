package org.skylarkmast.bench.ownership;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.OwnershipSettings;
import org.skylarkmast.standins.store.EtcdStandIn;
import org.skylarkmast.standins.store.StoreFaults;

/** Prints what claims, flushes and a herd of lapses cost; {@code bin/ownership-bench} runs it. */
public final class OwnershipBench {
    private static final int NODES = 7;
    private static final int DOMAINS = 4;
    private static final int STORE_DELAY_MS = 2;
    private static final double WRITE_SHARE = 40;
    private static final int RECORD_BYTES = 2_000;
    private static final int FLUSH_SECONDS = 5;
    private static final long GRACE_MS = 2_000;
    private static final long NS_PER_MS = 1_000_000L;
    private static final long WAIT_MS = 60_000;
    private static final OwnershipSettings WITH_GRACE = OwnershipSettings.withClaimGrace(GRACE_MS);
    private static final OwnershipSettings AT_ONCE =
            new OwnershipSettings(0, 0, 0, 3_000, 500, 4, 32);

    private final PrintStream out;

    private OwnershipBench(PrintStream out) {
        this.out = out;
    }

    /**
     * Runs all measurements.
     *
     * @throws IOException if no port is free
     * @throws InterruptedException if interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        OwnershipBench bench = new OwnershipBench(System.out);
        bench.claims("cold");
        bench.claims("warm");
        for (int recordsPerSecond : new int[] {20, 200, 2_000, 10_000}) {
            bench.flushes(recordsPerSecond);
        }
        bench.herd("former owners first", WITH_GRACE);
        bench.herd("claim at once", AT_ONCE);
    }

    private void claims(String run) throws IOException {
        try (EtcdStandIn standIn = standIn();
                BenchNode node = node(0, standIn, AT_ONCE)) {
            long startNs = System.nanoTime();
            Map<String, Long> before = standIn.counts();
            node.start();
            await(() -> node.owned.size() == ProgramKey.PARTITIONS);
            long tookMs = (System.nanoTime() - startNs) / NS_PER_MS;
            out.printf(
                    "claim_all run=%s partitions=%d tookMs=%d calls=%s%n",
                    run, ProgramKey.PARTITIONS, tookMs, difference(before, standIn.counts()));
        }
    }

    private void flushes(int recordsPerSecond) throws IOException, InterruptedException {
        try (EtcdStandIn standIn = standIn();
                BenchNode node = node(0, standIn, AT_ONCE)) {
            node.start();
            await(() -> node.owned.size() == ProgramKey.PARTITIONS);
            int records = recordsPerSecond * FLUSH_SECONDS;
            Histogram latencyUs = new ConcurrentHistogram(3);
            CountDownLatch committed = new CountDownLatch(records);
            Map<String, Long> before = standIn.counts();
            long startNs = System.nanoTime();
            for (int record = 0; record < records; record++) {
                long dueNs = startNs + record * (1_000_000_000L / recordsPerSecond);
                while (System.nanoTime() < dueNs) {
                    LockSupport.parkNanos(dueNs - System.nanoTime());
                }
                node.journal.append(
                        (record * 31) % ProgramKey.PARTITIONS,
                        new byte[RECORD_BYTES],
                        outcome -> {
                            if (outcome instanceof AppendOutcome.Committed) {
                                latencyUs.recordValue((System.nanoTime() - dueNs) / 1_000);
                                committed.countDown();
                            }
                        });
            }
            boolean all = committed.await(WAIT_MS, TimeUnit.MILLISECONDS);
            double seconds = (System.nanoTime() - startNs) / 1e9;
            out.printf(
                    "flush offeredPerSecond=%d committedPerSecond=%.0f allCommitted=%s p50Ms=%.1f"
                            + " p99Ms=%.1f maxMs=%.1f callsPerSecond=%.1f calls=%s%n",
                    recordsPerSecond,
                    (records - committed.getCount()) / seconds,
                    all,
                    latencyUs.getValueAtPercentile(50) / 1e3,
                    latencyUs.getValueAtPercentile(99) / 1e3,
                    latencyUs.getMaxValue() / 1e3,
                    calls(difference(before, standIn.counts())) / seconds,
                    difference(before, standIn.counts()));
        }
    }

    private void herd(String name, OwnershipSettings settings) throws IOException {
        List<BenchNode> nodes = new ArrayList<>();
        try (EtcdStandIn standIn = standIn()) {
            try {
                for (int node = 0; node < NODES; node++) {
                    nodes.add(node(node, standIn, settings));
                    nodes.getLast().start();
                }
                await(() -> balanced(nodes));
                long acquired = sum(nodes, node -> node.acquired.get());
                long reacquired = sum(nodes, node -> node.reacquired.get());
                long lost = sum(nodes, node -> node.lost.get());
                Map<String, Long> before = standIn.counts();
                long startNs = System.nanoTime();
                standIn.setFaults(new StoreFaults(false, STORE_DELAY_MS, 0, false, 0, true, 0, 0));
                await(
                        () ->
                                sum(nodes, node -> node.acquired.get() + node.reacquired.get())
                                                - acquired
                                                - reacquired
                                        >= ProgramKey.PARTITIONS);
                long tookMs = (System.nanoTime() - startNs) / NS_PER_MS;
                out.printf(
                        "herd policy=\"%s\" nodes=%d tookMs=%d reacquired=%d lost=%d calls=%s%n",
                        name,
                        NODES,
                        tookMs,
                        sum(nodes, node -> node.reacquired.get()) - reacquired,
                        sum(nodes, node -> node.lost.get()) - lost,
                        difference(before, standIn.counts()));
            } finally {
                nodes.forEach(BenchNode::close);
            }
        }
    }

    /** Whether all partitions are owned and no node holds far more than its part. */
    private static boolean balanced(List<BenchNode> nodes) {
        int total = nodes.stream().mapToInt(node -> node.owned.size()).sum();
        int most = nodes.stream().mapToInt(node -> node.owned.size()).max().orElse(0);
        return total == ProgramKey.PARTITIONS && most < 2 * ProgramKey.PARTITIONS / NODES;
    }

    private static long sum(List<BenchNode> nodes, ToLongFunction<BenchNode> count) {
        return nodes.stream().mapToLong(count).sum();
    }

    private static EtcdStandIn standIn() throws IOException {
        EtcdStandIn standIn = EtcdStandIn.start(0, 0);
        standIn.setFaults(new StoreFaults(false, STORE_DELAY_MS, 0, false, 0, false, 0, 0));
        return standIn;
    }

    private static BenchNode node(int index, EtcdStandIn standIn, OwnershipSettings settings) {
        String domain = "domain-" + index % DOMAINS;
        return new BenchNode("node-" + index, domain, standIn.port(), settings, WRITE_SHARE);
    }

    private static void await(BooleanSupplier condition) {
        long endNs = System.nanoTime() + WAIT_MS * NS_PER_MS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNs) {
                throw new IllegalStateException("not reached within " + WAIT_MS + " ms");
            }
            LockSupport.parkNanos(NS_PER_MS);
        }
    }

    private static Map<String, Long> difference(Map<String, Long> before, Map<String, Long> now) {
        Map<String, Long> difference = new HashMap<>();
        now.forEach(
                (kind, count) -> {
                    long calls = count - before.getOrDefault(kind, 0L);
                    if (calls != 0) {
                        difference.put(kind, calls);
                    }
                });
        return difference;
    }

    private static long calls(Map<String, Long> counts) {
        return counts.entrySet().stream()
                .filter(count -> !count.getKey().equals("watches_waiting"))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
