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

/**
 * Measures the cost of claiming all partitions, of journal flushes and of the simultaneous expiry
 * of all leases; {@code bin/ownership-bench} runs it.
 */
public final class OwnershipBench {
    private static final int NODES = 7;
    private static final int DOMAINS = 4;
    private static final int STORE_DELAY_MS = 2;
    private static final double STORE_WRITES_PER_S = 40;
    private static final int RECORD_BYTES = 2_000;
    private static final int FLUSH_DURATION_S = 5;
    private static final long CLAIM_GRACE_MS = 2_000;
    private static final long NS_PER_MS = 1_000_000L;
    private static final long TIMEOUT_MS = 60_000;
    private static final OwnershipSettings WITH_CLAIM_GRACE =
            OwnershipSettings.withClaimGrace(CLAIM_GRACE_MS);
    private static final OwnershipSettings WITHOUT_CLAIM_GRACE =
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
        bench.measureClaims("cold");
        bench.measureClaims("warm");
        for (int recordsPerSecond : new int[] {20, 200, 2_000, 10_000}) {
            bench.measureFlushes(recordsPerSecond);
        }
        bench.measureLeaseExpiry("former owners first", WITH_CLAIM_GRACE);
        bench.measureLeaseExpiry("claim at once", WITHOUT_CLAIM_GRACE);
    }

    private void measureClaims(String run) throws IOException {
        try (EtcdStandIn standIn = startStandIn();
                BenchNode node = createNode(0, standIn, WITHOUT_CLAIM_GRACE)) {
            long startNs = System.nanoTime();
            Map<String, Long> countsBefore = standIn.counts();
            node.start();
            await(() -> node.owned.size() == ProgramKey.PARTITIONS);
            long elapsedMs = (System.nanoTime() - startNs) / NS_PER_MS;
            out.printf(
                    "claim_all run=%s partitions=%d tookMs=%d calls=%s%n",
                    run,
                    ProgramKey.PARTITIONS,
                    elapsedMs,
                    difference(countsBefore, standIn.counts()));
        }
    }

    private void measureFlushes(int recordsPerSecond) throws IOException, InterruptedException {
        try (EtcdStandIn standIn = startStandIn();
                BenchNode node = createNode(0, standIn, WITHOUT_CLAIM_GRACE)) {
            node.start();
            await(() -> node.owned.size() == ProgramKey.PARTITIONS);
            int records = recordsPerSecond * FLUSH_DURATION_S;
            Histogram latencyUs = new ConcurrentHistogram(3);
            CountDownLatch committed = new CountDownLatch(records);
            Map<String, Long> countsBefore = standIn.counts();
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
            boolean allCommitted = committed.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            double seconds = (System.nanoTime() - startNs) / 1e9;
            out.printf(
                    "flush offeredPerSecond=%d committedPerSecond=%.0f allCommitted=%s p50Ms=%.1f"
                            + " p99Ms=%.1f maxMs=%.1f callsPerSecond=%.1f calls=%s%n",
                    recordsPerSecond,
                    (records - committed.getCount()) / seconds,
                    allCommitted,
                    latencyUs.getValueAtPercentile(50) / 1e3,
                    latencyUs.getValueAtPercentile(99) / 1e3,
                    latencyUs.getMaxValue() / 1e3,
                    totalCalls(difference(countsBefore, standIn.counts())) / seconds,
                    difference(countsBefore, standIn.counts()));
        }
    }

    private void measureLeaseExpiry(String name, OwnershipSettings settings) throws IOException {
        List<BenchNode> nodes = new ArrayList<>();
        try (EtcdStandIn standIn = startStandIn()) {
            try {
                for (int node = 0; node < NODES; node++) {
                    nodes.add(createNode(node, standIn, settings));
                    nodes.getLast().start();
                }
                await(() -> balanced(nodes));
                long acquired = sum(nodes, node -> node.acquired.get());
                long reacquired = sum(nodes, node -> node.reacquired.get());
                long lost = sum(nodes, node -> node.lost.get());
                Map<String, Long> countsBefore = standIn.counts();
                long startNs = System.nanoTime();
                standIn.setFaults(new StoreFaults(false, STORE_DELAY_MS, 0, false, 0, true, 0, 0));
                await(
                        () ->
                                sum(nodes, node -> node.acquired.get() + node.reacquired.get())
                                                - acquired
                                                - reacquired
                                        >= ProgramKey.PARTITIONS);
                long elapsedMs = (System.nanoTime() - startNs) / NS_PER_MS;
                out.printf(
                        "herd policy=\"%s\" nodes=%d tookMs=%d reacquired=%d lost=%d calls=%s%n",
                        name,
                        NODES,
                        elapsedMs,
                        sum(nodes, node -> node.reacquired.get()) - reacquired,
                        sum(nodes, node -> node.lost.get()) - lost,
                        difference(countsBefore, standIn.counts()));
            } finally {
                nodes.forEach(BenchNode::close);
            }
        }
    }

    /** Whether all partitions are owned and every node owns less than twice its even share. */
    private static boolean balanced(List<BenchNode> nodes) {
        int total = nodes.stream().mapToInt(node -> node.owned.size()).sum();
        int most = nodes.stream().mapToInt(node -> node.owned.size()).max().orElse(0);
        return total == ProgramKey.PARTITIONS && most < 2 * ProgramKey.PARTITIONS / NODES;
    }

    private static long sum(List<BenchNode> nodes, ToLongFunction<BenchNode> counter) {
        return nodes.stream().mapToLong(counter).sum();
    }

    private static EtcdStandIn startStandIn() throws IOException {
        EtcdStandIn standIn = EtcdStandIn.start(0, 0);
        standIn.setFaults(new StoreFaults(false, STORE_DELAY_MS, 0, false, 0, false, 0, 0));
        return standIn;
    }

    private static BenchNode createNode(
            int index, EtcdStandIn standIn, OwnershipSettings settings) {
        String domain = "domain-" + index % DOMAINS;
        return new BenchNode("node-" + index, domain, standIn.port(), settings, STORE_WRITES_PER_S);
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNs = System.nanoTime() + TIMEOUT_MS * NS_PER_MS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs) {
                throw new IllegalStateException("condition not met within " + TIMEOUT_MS + " ms");
            }
            LockSupport.parkNanos(NS_PER_MS);
        }
    }

    private static Map<String, Long> difference(
            Map<String, Long> countsBefore, Map<String, Long> now) {
        Map<String, Long> difference = new HashMap<>();
        now.forEach(
                (kind, count) -> {
                    long calls = count - countsBefore.getOrDefault(kind, 0L);
                    if (calls != 0) {
                        difference.put(kind, calls);
                    }
                });
        return difference;
    }

    private static long totalCalls(Map<String, Long> counts) {
        return counts.entrySet().stream()
                .filter(count -> !count.getKey().equals("watches_waiting"))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
